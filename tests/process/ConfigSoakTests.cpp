#include "process/ConfigSoak.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <numeric>

using namespace Auburnpost::Test;

namespace {

/// @return the number in a variable of the environment.
std::uint64_t environmentNumber(const char* name, std::uint64_t otherwise)
{
    const auto* const text = std::getenv(name);
    return text ? std::stoull(text) : otherwise;
}

/// @return a site whose size and use of homes depend on the seed.
ConfigSiteOptions siteOf(std::uint64_t seed)
{
    ConfigSiteOptions site;
    site.hosts = 8 + seed % 6;
    site.dataCentres = 1 + seed / 2 % 3;
    site.connectionLimit = seed % 2 == 0 ? 48 : 6;
    return site;
}

/// @return CONFIG_SOAK_SEEDS seeds from CONFIG_SOAK_SEED on if that is set.
std::vector<std::uint64_t> chosenSeeds(const std::vector<std::uint64_t>& otherwise)
{
    const auto first = environmentNumber("CONFIG_SOAK_SEED", 0);
    if (first == 0)
        return otherwise;
    std::vector<std::uint64_t> seeds(environmentNumber("CONFIG_SOAK_SEEDS", 1));
    std::iota(seeds.begin(), seeds.end(), first);
    return seeds;
}

/// Plays the chosen seeds, each for CONFIG_SOAK_SECONDS.
void playSeeds(const std::vector<std::uint64_t>& seedsInCi, const std::function<ConfigSoak(std::uint64_t)>& makeSoak)
{
    constexpr std::uint64_t secondsInCi = 18;
    for (const auto seed : chosenSeeds(seedsInCi)) {
        INFO("seed " << seed);
        auto soak = makeSoak(seed);
        soak.time = std::chrono::seconds(environmentNumber("CONFIG_SOAK_SECONDS", secondsInCi));
        CHECK(soak.run(seed) == 0);
    }
}

} // namespace

TEST_CASE("An edit is in force in time after the store came back from an older copy", "[copies]")
{
    playSeeds({ 3, 8 }, [](std::uint64_t) {
        ConfigSoak soak;
        soak.faults.ofStore = { "older-copy" };
        return soak;
    });
}

TEST_CASE("A home that was stopped decides by no older version for callers of other hosts", "[homes]")
{
    playSeeds({ 3 }, [](std::uint64_t) {
        ConfigSoak soak;
        soak.site.connectionLimit = 6;
        soak.faults.ofHosts = { "stopped" };
        return soak;
    });
}

TEST_CASE("Hosts in touch apply each version in time when calls fail in series after an outage", "[series]")
{
    playSeeds({ 12 }, [](std::uint64_t) {
        ConfigSoak soak;
        soak.faults.ofStore = { "call-series" };
        return soak;
    });
}

TEST_CASE("Hosts in touch apply each version in time although their polls are answered without it", "[hidden]")
{
    playSeeds({ 5 }, [](std::uint64_t) {
        ConfigSoak soak;
        soak.faults.ofHosts = { "changes-hidden" };
        return soak;
    });
}

TEST_CASE("Hosts in touch apply each version in time under overlapping faults", "[overlapping]")
{
    playSeeds({ 3 }, [](std::uint64_t seed) {
        ConfigSoak soak;
        soak.site = siteOf(seed);
        soak.faults.ofHosts = { "stopped", "starved", "killed", "reloaded", "store-silent", "store-429", "store-503",
            "store-reset", "store-late" };
        soak.faults.ofStore = { "silent", "history-lost", "older-copy" };
        soak.faults.hostInterval = std::chrono::milliseconds(1000);
        return soak;
    });
}
