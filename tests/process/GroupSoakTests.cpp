#include "process/GroupSoak.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Auburnpost::Test;

namespace {

/// @return the number in a variable of the environment.
std::uint64_t environmentNumber(const char* name, std::uint64_t otherwise)
{
    const auto* const text = std::getenv(name);
    return text ? std::stoull(text) : otherwise;
}

} // namespace

TEST_CASE("No statement runs at a replaced primary and no commit is lost under faults of a group", "[group]")
{
    constexpr std::uint64_t firstSeedInCi = 1;
    constexpr std::uint64_t seedsInCi = 2;
    constexpr std::uint64_t secondsInCi = 18;
    const auto first = environmentNumber("GROUP_SOAK_SEED", firstSeedInCi);
    const auto seeds = environmentNumber("GROUP_SOAK_SEEDS", seedsInCi);
    for (auto seed = first; seed < first + seeds; ++seed) {
        INFO("seed " << seed);
        GroupSoak soak;
        soak.time = std::chrono::seconds(environmentNumber("GROUP_SOAK_SECONDS", secondsInCi));
        CHECK(soak.run(seed) == 0);
    }
}
