#include "proxy/ConfigurationSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr Duration scheduleLength = 40s;

enum class FaultKind : std::uint8_t {
    None,
    Hosts,
    Store,
    Copy,
    All,
    /// All faults at more hosts, which follow the tables at feeders. Slower to run.
    AllWithFeeders,
    /// Calls fail in series after faults of the store.
    Series,
    SeriesWithFeeders,
};

struct FaultCase {
    const char* name;
    ConfigurationScenario scenario;
    std::uint64_t schedules { 30 };
};

constexpr std::size_t hostsWithFeeders = 20;
constexpr std::array faultCases {
    FaultCase { "no faults", { 6, false, false, false, false } },
    FaultCase { "hosts pause and restart", { 6, true, true, false, false } },
    FaultCase { "the store fails", { 6, false, false, true, false } },
    FaultCase { "the store returns from a copy", { 6, false, false, false, true } },
    FaultCase { "all faults", { 6, true, true, true, true } },
    FaultCase { "all faults with feeders", { hostsWithFeeders, true, true, true, true }, 10 },
    FaultCase { "calls fail in series", { 6, false, false, true, false, true, 2 } },
    FaultCase { "calls fail in series with feeders", { hostsWithFeeders, false, false, true, false, true, 2 }, 10 },
};

struct Outcome {
    /// The violations of each schedule by its seed.
    std::map<std::uint64_t, std::map<std::string, std::string>> violations;
    std::size_t decisions { 0 };
    std::size_t decisionsInTouch { 0 };
    Duration largestAge {};
};

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Runs random schedules with the faults, once for all tests, and prints what they covered. The environment variables
/// PROXY_SCHEDULES and PROXY_SEED set the number of schedules and the first seed.
const Outcome& outcomeOf(FaultKind kind)
{
    static std::map<FaultKind, Outcome> outcomes;
    const auto [found, isNew] = outcomes.try_emplace(kind);
    auto& outcome = found->second;
    if (!isNew)
        return outcome;
    const auto& faultCase = faultCases[static_cast<std::size_t>(kind)];
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", faultCase.schedules);
    std::map<std::string, std::size_t> schedulesByKind;
    for (auto each = seed; each < seed + schedules; ++each) {
        ConfigurationSimulation simulation(each, faultCase.scenario);
        simulation.run(scheduleLength);
        const auto& checker = simulation.checker();
        outcome.violations[each] = checker.violations();
        for (const auto& [violation, text] : checker.violations())
            ++schedulesByKind[violation];
        outcome.decisions += checker.decisions();
        outcome.decisionsInTouch += checker.decisionsInTouch();
        outcome.largestAge = std::max(outcome.largestAge, checker.largestAge());
    }
    std::cout << faultCase.name << ", " << schedules << " schedules: " << outcome.decisions << " decisions, "
              << outcome.decisionsInTouch << " at hosts in touch, largest age " << toMilliseconds(outcome.largestAge)
              << " ms\n";
    for (const auto& [violation, count] : schedulesByKind)
        std::cout << "  " << violation << ": " << count << " schedules\n";
    return outcome;
}

/// @return the violations of the rule, a line each; empty if there is none.
std::string describe(const std::map<std::string, std::string>& violations, std::string_view rule)
{
    std::string text;
    for (const auto& [violation, first] : violations) {
        if (violation.starts_with(rule))
            text += violation + ": " + first + "\n";
    }
    return text;
}

/// Checks that no schedule has a violation of the rule.
void check(FaultKind kind, std::string_view rule)
{
    const auto& outcome = outcomeOf(kind);
    for (const auto& [seed, violations] : outcome.violations) {
        INFO("seed " << seed);
        CHECK(describe(violations, rule) == "");
    }
    // Schedules in which nothing is served would pass without a check.
    CHECK(outcome.decisions > outcome.violations.size() * 1000);
    CHECK(outcome.decisionsInTouch > outcome.violations.size() * 500);
}

} // namespace

TEST_CASE("No request is decided by an older configuration while nothing fails", "[proxy][configuration]")
{
    check(FaultKind::None, ConfigurationChecker::late);
    check(FaultKind::None, ConfigurationChecker::back);
}

TEST_CASE(
    "No request is decided too late by an older configuration when hosts pause and restart", "[proxy][configuration]")
{
    check(FaultKind::Hosts, ConfigurationChecker::late);
}

TEST_CASE("No request is decided too late by an older configuration when the store fails", "[proxy][configuration]")
{
    check(FaultKind::Store, ConfigurationChecker::late);
}

TEST_CASE("No request is decided too late by an older configuration when the store returns from a copy",
    "[proxy][configuration]")
{
    check(FaultKind::Copy, ConfigurationChecker::late);
}

TEST_CASE("No request is decided too late by an older configuration in a mix of faults", "[proxy][configuration]")
{
    check(FaultKind::All, ConfigurationChecker::late);
}

TEST_CASE("No request is decided too late by an older configuration when calls fail in series after an outage",
    "[proxy][configuration]")
{
    check(FaultKind::Series, ConfigurationChecker::late);
}

TEST_CASE("No request is decided too late by an older configuration when calls fail in series with feeders",
    "[proxy][configuration]")
{
    check(FaultKind::SeriesWithFeeders, ConfigurationChecker::late);
}

TEST_CASE("Callers of a host see no older configuration after a newer one when hosts pause and restart",
    "[proxy][configuration]")
{
    check(FaultKind::Hosts, ConfigurationChecker::back);
}

TEST_CASE(
    "Callers of a host see no older configuration after a newer one when the store fails", "[proxy][configuration]")
{
    check(FaultKind::Store, ConfigurationChecker::back);
}

TEST_CASE("Callers of a host see no older configuration after a newer one when the store returns from a copy",
    "[proxy][configuration]")
{
    check(FaultKind::Copy, ConfigurationChecker::back);
}

TEST_CASE("Callers of a host see no older configuration after a newer one in a mix of faults", "[proxy][configuration]")
{
    check(FaultKind::All, ConfigurationChecker::back);
}

TEST_CASE("No request is decided too late by an older configuration in a mix of faults with feeders",
    "[proxy][configuration]")
{
    check(FaultKind::AllWithFeeders, ConfigurationChecker::late);
}

TEST_CASE("Callers of a host see no older configuration after a newer one in a mix of faults with feeders",
    "[proxy][configuration]")
{
    check(FaultKind::AllWithFeeders, ConfigurationChecker::back);
}

// Guards against a host that forwards some sessions to a home with a newer configuration and decides others by its own.
TEST_CASE("Callers of a host see no older configuration after a newer one when the store is silent for the host",
    "[proxy][configuration]")
{
    constexpr std::size_t hosts = 6;
    for (std::size_t host = 0; host < hosts; ++host) {
        ConfigurationSimulation simulation(firstSeed, { hosts });
        simulation.run(10s);
        simulation.silenceStore(host, 6s);
        simulation.run(10s);
        INFO("host " << host);
        CHECK(describe(simulation.checker().violations(), ConfigurationChecker::back) == "");
    }
}

// Guards against a second failed call that costs its whole timeout, which has doubled in the outage.
TEST_CASE("A host whose calls fail in series after an outage decides by no configuration older than the bound",
    "[proxy][configuration]")
{
    constexpr std::size_t hosts = 6;
    Duration largestAge {};
    for (std::size_t failures = 0; failures <= 2; ++failures) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + 8; ++seed) {
            ConfigurationScenario scenario { hosts };
            scenario.storeConnections = 2;
            ConfigurationSimulation simulation(seed, scenario);
            simulation.run(10s + seed * 300ms);
            for (std::size_t host = 0; host < hosts; ++host) {
                simulation.silenceStore(host, 6s);
                simulation.failCalls(host, std::deque(failures, SeriesFailure::NoAnswer), 16s);
            }
            simulation.run(20s);
            INFO("seed " << seed << ", " << failures << " failed calls");
            CHECK(describe(simulation.checker().violations(), ConfigurationChecker::late) == "");
            largestAge = std::max(largestAge, simulation.checker().largestAge());
        }
    }
    std::cout << "calls fail in series at every host: largest age " << toMilliseconds(largestAge) << " ms\n";
}
