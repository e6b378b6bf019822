#include "route/Freshness.h"
#include "route/TargetChoice.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Route;
using namespace std::chrono_literals;

namespace {

const DataCentreName own("west-colombo");
const DataCentreName other("central-kandy");

ReadCandidate candidate(const char* name, const DataCentreName& dataCentre, std::uint64_t term, std::uint64_t position,
    std::optional<Duration> age)
{
    return { TargetName(name), dataCentre, { Term(term), Position(position) }, age, 0 };
}

} // namespace

TEST_CASE("A read goes to a replica that covers the session's point", "[route][choice]")
{
    RandomEngine random(1);
    const Freshness freshness { { Term(2), Position(10) }, std::nullopt };
    CHECK_FALSE(chooseReplica({ candidate("a", own, 2, 9, 1s) }, freshness, own, random));
    CHECK(chooseReplica({ candidate("a", own, 2, 9, 0ms), candidate("b", other, 2, 10, 0ms) }, freshness, own, random)
        == TargetName("b"));
    SECTION("a longer log of an older term does not cover it")
    {
        CHECK_FALSE(chooseReplica({ candidate("a", own, 1, 99, 0ms) }, freshness, own, random));
    }
}

TEST_CASE("A replica that keeps up is chosen before it is known to hold the point", "[route][choice]")
{
    RandomEngine random(1);
    const Freshness freshness { { Term(2), Position(10) }, 10s };
    CHECK(chooseReplica({ candidate("a", own, 2, 9, 100ms) }, freshness, own, random) == TargetName("a"));
    CHECK_FALSE(chooseReplica({ candidate("a", own, 2, 9, 400ms) }, freshness, own, random));
    CHECK_FALSE(chooseReplica({ candidate("a", own, 1, 9, 100ms) }, freshness, own, random));
    SECTION("a replica that is known to hold it comes first")
    {
        for (int round = 0; round < 20; ++round)
            REQUIRE(chooseReplica(
                        { candidate("a", own, 2, 9, 0ms), candidate("b", other, 2, 10, 0ms) }, freshness, own, random)
                == TargetName("b"));
    }
}

TEST_CASE("A read with a maximum age goes to no replica whose age is greater or unknown", "[route][choice]")
{
    RandomEngine random(1);
    const Freshness freshness { {}, 100ms };
    CHECK_FALSE(chooseReplica({ candidate("a", own, 1, 1, std::nullopt) }, freshness, own, random));
    CHECK_FALSE(chooseReplica({ candidate("a", own, 1, 1, 101ms) }, freshness, own, random));
    CHECK(chooseReplica({ candidate("a", own, 1, 1, 100ms) }, freshness, own, random) == TargetName("a"));
}

TEST_CASE("A replica of the own data centre comes first up to a limit of its load", "[route][choice]")
{
    RandomEngine random(1);
    auto near = candidate("near", own, 1, 1, 0ms);
    const auto far = candidate("far", other, 1, 1, 0ms);
    for (int round = 0; round < 50; ++round)
        REQUIRE(chooseReplica({ near, far }, {}, own, random) == TargetName("near"));
    near.load = 1000;
    int farTaken = 0;
    for (int round = 0; round < 50; ++round)
        farTaken += chooseReplica({ near, far }, {}, own, random) == TargetName("far") ? 1 : 0;
    CHECK(farTaken > 25);
}
