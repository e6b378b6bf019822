#include "process/ConfigSoak.h"

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

/// Plays CONFIG_SOAK_SEEDS seeds from CONFIG_SOAK_SEED on, each for CONFIG_SOAK_SECONDS.
void playSeeds(ConfigSoak soak, std::uint64_t firstSeed, std::uint64_t seconds)
{
    const auto first = environmentNumber("CONFIG_SOAK_SEED", firstSeed);
    const auto count = environmentNumber("CONFIG_SOAK_SEEDS", 1);
    soak.time = std::chrono::seconds(environmentNumber("CONFIG_SOAK_SECONDS", seconds));
    for (auto seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        CHECK(soak.run(seed) == 0);
    }
}

} // namespace

TEST_CASE("An edit is in force in time after the store came back from an older copy", "[copies]")
{
    ConfigSoak soak;
    soak.faults.ofStore = { "older-copy" };
    playSeeds(soak, 1, 18);
}

TEST_CASE("A home that was stopped decides by no older version for callers of other hosts", "[homes]")
{
    ConfigSoak soak;
    soak.site.connectionLimit = 6;
    soak.faults.ofHosts = { "stopped" };
    playSeeds(soak, 1, 18);
}

TEST_CASE("Hosts in touch apply each version in time under overlapping faults", "[overlapping]")
{
    ConfigSoak soak;
    soak.site.hosts = 10;
    soak.site.dataCentres = 2;
    soak.faults.ofHosts = { "stopped", "starved", "killed", "reloaded", "store-silent", "store-429", "store-503",
        "store-reset", "store-late" };
    soak.faults.ofStore = { "silent", "history-lost", "older-copy" };
    soak.faults.hostInterval = std::chrono::milliseconds(1000);
    playSeeds(soak, 1, 18);
}
