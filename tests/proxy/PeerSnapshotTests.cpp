#include "proxy/PeerSnapshot.h"
#include "proxy/StoreFollower.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

struct IgnoredCalls final : StoreDelegate {
    void readTable(StoreTable, const std::string&, Duration, StoreCallSlot) override { }
    void followTable(StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable, StoreCallSlot) override { }
    void writeHost(const HostName&, const std::string&) override { }
};

RowVersion inEra(std::uint64_t era, std::uint64_t number)
{
    return RowVersion(number, StoreEra(era));
}

} // namespace

// Guards against a host that ignores the edits after a return of the store.
TEST_CASE("A row of an earlier era in another host's table does not hide later changes of the row", "[proxy][store]")
{
    const TableState passedOn { inEra(4, 23), { { "config", { "config", inEra(3, 51), "version 4", false } } } };
    IgnoredCalls calls;
    RandomEngine random { 1 };
    StoreContact contact;
    StoreFollower follower(StoreTable::Configuration, TableTimes::forConfiguration({}), contact, calls);
    follower.tick(start);

    SECTION("adopted from a peer after the table was read")
    {
        const StorePage page { { { "config", inEra(4, 11), "version 2", false } }, inEra(4, 22), false, false };
        REQUIRE(follower.tableRead(start, random, page));
        follower.tick(start);
        const auto read
            = decodeSnapshot(encodeSnapshot({ { StoreTable::Configuration, passedOn }, { StoreTable::Targets, {} } }));
        REQUIRE(read);
        REQUIRE(follower.adopt(read->at(StoreTable::Configuration), { "10.0.0.9", 7 }));
    }
    SECTION("received from a feeder")
    {
        const auto read = decodeFeedPage(encodeFeedPage({ passedOn.asOf, 0ms, passedOn }));
        REQUIRE(read);
        REQUIRE(follower.feederAnswered(start, random, *read));
        follower.tick(start);
    }
    const StorePage edit { { { "config", inEra(4, 43), "version 5", false } }, inEra(4, 43), false, false };
    CHECK(follower.tableFollowed(start, random, edit));
    CHECK(follower.state().rows.at("config").value == "version 5");
}
