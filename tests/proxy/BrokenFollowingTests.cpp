#include "proxy/ConfigurationSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t fewHosts = 6;
/// Enough for most hosts to follow the tables at feeders.
constexpr std::size_t manyHosts = 20;
constexpr Duration brokenTime = 15s;
/// Long enough that the timeouts of calls have grown to those of a poll.
constexpr Duration outageTime = 6s;

struct Case {
    const char* name;
    std::vector<CallFault> faults;
    std::size_t hosts { fewHosts };
    std::uint64_t schedules { 6 };
    /// Whether the following breaks when the store comes back from an outage.
    bool isAfterOutage { false };
};

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Plays schedules in which the calls of one host for the configuration end in the ways of the case, while the host,
/// the store and all other hosts are undisturbed. Prints how many broke the bound. PROXY_SCHEDULES and PROXY_SEED set
/// the number of schedules and the first seed.
void checkSchedules(const Case& played)
{
    const auto firstSeed = numberFrom("PROXY_SEED", 1);
    const auto schedules = numberFrom("PROXY_SCHEDULES", played.schedules);
    std::map<std::uint64_t, std::string> late;
    Duration largestAge {};
    std::size_t decisions = 0;
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        ConfigurationScenario scenario { played.hosts };
        // A home that states a newer version to the host would hide the fault.
        scenario.hasHomes = false;
        ConfigurationSimulation simulation(seed, scenario);
        simulation.run(10s + seed % 10 * 300ms);
        for (std::size_t host = 0; played.isAfterOutage && host < played.hosts; ++host)
            simulation.silenceStore(host, outageTime);
        simulation.run(played.isAfterOutage ? outageTime : Duration {});
        simulation.breakFollowing(seed % played.hosts, played.faults, brokenTime);
        simulation.run(brokenTime + 5s);
        const auto& checker = simulation.checker();
        decisions += checker.decisionsInTouch();
        largestAge = std::max(largestAge, checker.largestAge());
        for (const auto& [kind, text] : checker.violations()) {
            if (kind.starts_with(ConfigurationChecker::late))
                late.emplace(seed, text);
        }
    }
    std::cout << played.name << (played.isAfterOutage ? " after an outage, " : ", ") << played.hosts
              << " hosts: " << late.size() << " of " << schedules << " schedules late"
              << (late.empty() ? "" : ", first seed " + std::to_string(late.begin()->first)) << ", largest age "
              << toMilliseconds(largestAge) << " ms\n";
    CHECK((late.empty() ? "" : late.begin()->second) == "");
    CHECK(decisions > schedules * 500);
}

const std::vector<CallFault> allFaults { callFaults.begin(), callFaults.end() };

} // namespace

// Guards against a host whose own calls to the store are the only way by which it learns that it is behind.
TEST_CASE("A host whose own following of the store is broken decides by no configuration older than the bound",
    "[proxy][configuration][broken]")
{
    const auto kind = GENERATE(range(std::size_t { 0 }, callFaults.size()));
    const bool isAfterOutage = GENERATE(false, true);
    checkSchedules({ callFaultNames[kind], { callFaults[kind] }, fewHosts, 6, isAfterOutage });
}

TEST_CASE("A host whose own following fails in changing ways decides by no configuration older than the bound",
    "[proxy][configuration][broken]")
{
    checkSchedules({ "all kinds", allFaults, fewHosts, 12 });
    checkSchedules({ "all kinds", allFaults, fewHosts, 12, true });
}

TEST_CASE(
    "A host whose following of a feeder or of the store is broken decides by no configuration older than the bound",
    "[proxy][configuration][broken]")
{
    checkSchedules({ "all kinds", allFaults, manyHosts, 8 });
    checkSchedules({ "earlier moment", { CallFault::EarlierMoment }, manyHosts, 4 });
}
