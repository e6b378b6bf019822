#include "base/Invariant.h"
#include "group/GroupSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t defaultSchedules = 150;
constexpr std::uint64_t firstSeed = 1;
constexpr Duration recoveryLimit = 9s;
constexpr Duration lookupLimit = 6s;
constexpr Duration switchoverLimit = 3s;
constexpr Duration pollInterval = 20ms;

void throwViolation(std::string_view text, const char* file, int line)
{
    throw std::logic_error(std::string(text) + " at " + file + ":" + std::to_string(line));
}

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

struct Totals {
    std::size_t acknowledged { 0 };
    std::size_t absent { 0 };
    std::size_t promotions { 0 };
    std::size_t confirmed { 0 };
    std::size_t ages { 0 };
    Duration slowestRecovery {};
};

void injectFaults(GroupSimulation& simulation)
{
    simulation.network().lossProbability = simulation.network().chance(0.5) ? 0.02 : 0;
    simulation.network().duplicateProbability = 0.02;
    simulation.network().lateProbability = 0.01;
    simulation.run(2s);
    const auto faults = 4 + simulation.random()() % 12;
    for (std::uint64_t fault = 0; fault < faults && simulation.violation().empty(); ++fault) {
        simulation.injectFault();
        simulation.run(simulation.network().between(20ms, 1200ms));
    }
}

/// Runs until every watcher knows the open primary.
/// @return whether that happened within @p limit and without a violation.
bool convergesWithin(GroupSimulation& simulation, Duration limit)
{
    const auto end = simulation.now() + limit;
    while (!simulation.hasConverged() && simulation.now() < end && simulation.violation().empty())
        simulation.run(pollInterval);
    return simulation.hasConverged() && simulation.violation().empty();
}

/// @return the first violation in the schedule; empty when there was none.
std::string runSchedule(std::uint64_t seed, Totals& totals)
{
    GroupSimulation simulation({ .seed = seed, .targets = seed % 4 == 0 ? 5U : 3U, .watchers = 1 + seed % 3 });
    try {
        injectFaults(simulation);
        simulation.healAll();
        const auto healedAt = simulation.now();
        if (!convergesWithin(simulation, recoveryLimit))
            return simulation.violation().empty() ? "no open primary that all watchers know after the faults ended"
                                                  : simulation.violation();
        totals.slowestRecovery = std::max(totals.slowestRecovery, simulation.now() - healedAt);
        simulation.run(lookupLimit);
        if (simulation.checker().lastAcknowledgedAt().value_or(Instant {}) < healedAt)
            return "no write acknowledged after the faults ended";
        // A switchover that the faults delayed may be running at this moment.
        if (!convergesWithin(simulation, switchoverLimit))
            return simulation.violation().empty() ? "no open primary that all watchers know at the end"
                                                  : simulation.violation();
        simulation.checkFinalState();
    } catch (const std::logic_error& error) {
        return error.what();
    }
    totals.acknowledged += simulation.checker().acknowledgements();
    totals.absent += simulation.checker().absences();
    totals.promotions += simulation.checker().promotions().size();
    totals.confirmed += simulation.checker().confirmations();
    totals.ages += simulation.checker().ages();
    return simulation.violation();
}

} // namespace

TEST_CASE("A group keeps its guarantees under random faults", "[group][schedule]")
{
    const auto handler = setInvariantHandler(throwViolation);
    Totals totals;
    const auto first = numberFrom("AUBURNPOST_FIRST_SEED", firstSeed);
    const auto schedules = numberFrom("AUBURNPOST_SCHEDULES", defaultSchedules);
    std::size_t failures = 0;
    for (auto seed = first; seed < first + schedules; ++seed) {
        const auto violation = runSchedule(seed, totals);
        if (violation.empty())
            continue;
        ++failures;
        UNSCOPED_INFO("seed " << seed << ": " << violation);
    }
    setInvariantHandler(handler);
    std::cout << "schedules " << schedules << ", failed " << failures << ", acknowledged " << totals.acknowledged
              << ", absent " << totals.absent << ", promotions " << totals.promotions << ", confirmed "
              << totals.confirmed << ", ages " << totals.ages << ", slowest recovery "
              << toMilliseconds(totals.slowestRecovery) << " ms\n";
    CHECK(failures == 0);
    CHECK(totals.acknowledged > 0);
}
