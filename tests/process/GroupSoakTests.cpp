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

/// Plays GROUP_SOAK_SEEDS seeds from GROUP_SOAK_SEED on, each for GROUP_SOAK_SECONDS.
void playSeeds(std::uint64_t seedsInCi, GroupFaults faults)
{
    constexpr std::uint64_t firstSeedInCi = 1;
    constexpr std::uint64_t secondsInCi = 18;
    const auto first = environmentNumber("GROUP_SOAK_SEED", firstSeedInCi);
    const auto seeds = environmentNumber("GROUP_SOAK_SEEDS", seedsInCi);
    for (auto seed = first; seed < first + seeds; ++seed) {
        INFO("seed " << seed);
        GroupSoak soak;
        soak.faults = faults;
        soak.time = std::chrono::seconds(environmentNumber("GROUP_SOAK_SECONDS", secondsInCi));
        CHECK(soak.run(seed) == 0);
    }
}

} // namespace

TEST_CASE("No statement runs at a replaced primary that one host still reaches", "[replaced]")
{
    playSeeds(1, GroupFaults::ReplacedPrimary);
}

TEST_CASE("No statement runs on a stale log and no commit is lost under overlapping faults of a group", "[group]")
{
    playSeeds(2, GroupFaults::All);
}
