#include "proxy/ConfigurationSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t defaultSchedules = 100;
constexpr std::uint64_t firstSeed = 1;
constexpr Duration scheduleLength = 40s;

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Runs random schedules and prints what they covered. The environment variables PROXY_SCHEDULES and PROXY_SEED set the
/// number of schedules and the first seed.
void checkSchedules(const char* name, const ConfigurationFaults& faults)
{
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", defaultSchedules);
    std::size_t broken = 0;
    std::map<std::string, std::size_t> brokenByKind;
    std::size_t decisions = 0;
    std::size_t inTouch = 0;
    std::size_t edits = 0;
    for (auto each = seed; each < seed + schedules; ++each) {
        ConfigurationSimulation simulation(each, faults);
        simulation.run(scheduleLength);
        const auto& checker = simulation.checker();
        INFO("seed " << each);
        CHECK(checker.violations() == "");
        broken += checker.violationCounts().empty() ? 0 : 1;
        for (const auto& [kind, count] : checker.violationCounts())
            ++brokenByKind[kind];
        decisions += checker.decisions();
        inTouch += checker.decisionsInTouch();
        edits += checker.version();
    }
    std::cout << name << ": " << broken << " of " << schedules << " schedules broken, " << edits << " edits, "
              << decisions << " decisions, " << inTouch << " of them at hosts in touch\n";
    for (const auto& [kind, count] : brokenByKind)
        std::cout << "    " << kind << ": " << count << " schedules\n";
    // Schedules in which nothing is served would pass without a check.
    CHECK(decisions > schedules * 1000);
    CHECK(inTouch > schedules * 100);
}

} // namespace

TEST_CASE("No request is decided by an older configuration while nothing fails", "[proxy][configuration]")
{
    checkSchedules("calm", { false, false, false, false });
}

TEST_CASE("No request is decided by an older configuration when hosts pause and restart", "[proxy][configuration]")
{
    checkSchedules("hosts", { true, true, false, false });
}

TEST_CASE("No request is decided by an older configuration when the store fails", "[proxy][configuration]")
{
    checkSchedules("store", { false, false, true, false });
}

TEST_CASE(
    "No request is decided by an older configuration when the store returns from a copy", "[proxy][configuration]")
{
    checkSchedules("copy", { false, false, false, true });
}

TEST_CASE("No request is decided by an older configuration in a mix of faults", "[proxy][configuration]")
{
    checkSchedules("mix", { true, true, true, true });
}
