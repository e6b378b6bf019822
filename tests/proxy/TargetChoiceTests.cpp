#include "proxy/TargetChoiceSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

using Costs = std::array<double, simulatedTargets>;

double costOfReport(const KnownTarget& known)
{
    constexpr double service = 20'000;
    const auto load = std::max(known.reported, known.own);
    const auto queue = load >= simulatedSlots ? static_cast<double>(load + 1 - simulatedSlots) / simulatedSlots : 0;
    return static_cast<double>(known.roundTrip.count()) + service * queue;
}

/// The lowest cost by round trip, last reported load and a fixed service time, as ReadTargetSelector had it before
/// TargetLoad.
struct LeastKnownLoad final : TargetChooser {
    Costs costs(Instant, const KnownTargets& known, RandomEngine&) override
    {
        Costs costs {};
        std::transform(known.begin(), known.end(), costs.begin(), costOfReport);
        return costs;
    }
};

/// The cheaper of two targets drawn at random, by the same cost.
struct PowerOfTwoChoices final : TargetChooser {
    Costs costs(Instant, const KnownTargets& known, RandomEngine& random) override
    {
        Costs costs {};
        std::transform(known.begin(), known.end(), costs.begin(), costOfReport);
        costs[std::uniform_int_distribution<std::size_t>(0, simulatedTargets - 1)(random)] += 1e9;
        return costs;
    }
};

double expectedTime(Instant now, const KnownTarget& known, std::size_t own)
{
    return static_cast<double>(
        known.load.expectedTime(now, own, simulatedSlots, known.load.networkTime().value_or(0us)).count());
}

/// A target at random with a weight of the inverse square of the expected time, by the answers and reports alone.
struct WeightedRandom final : TargetChooser {
    Costs costs(Instant now, const KnownTargets& known, RandomEngine& random) override
    {
        Costs costs {};
        for (std::size_t target = 0; target < known.size(); ++target) {
            const auto time = expectedTime(now, known[target], 0);
            costs[target] = std::exponential_distribution<double>(1)(random) * time * time;
        }
        return costs;
    }
};

/// The lowest expected time by own unanswered requests and decayed information.
struct OwnAndDecayed final : TargetChooser {
    Costs costs(Instant now, const KnownTargets& known, RandomEngine&) override
    {
        Costs costs {};
        std::transform(known.begin(), known.end(), costs.begin(),
            [now](const KnownTarget& target) { return expectedTime(now, target, target.own); });
        return costs;
    }
};

/// Shares of the host's statements that are fixed for a second, by the inverse square of the expected time.
struct SharesPerRound final : TargetChooser {
    static constexpr Duration round = 1s;
    std::optional<Instant> decidedAt;
    Costs shares {};
    Costs credit {};

    Costs costs(Instant now, const KnownTargets& known, RandomEngine&) override
    {
        if (!decidedAt || now - *decidedAt >= round) {
            decidedAt = now;
            double sum = 0;
            for (std::size_t target = 0; target < known.size(); ++target) {
                shares[target] = std::pow(expectedTime(now, known[target], 0), -2);
                sum += shares[target];
            }
            for (auto& share : shares)
                share /= sum;
        }
        Costs costs {};
        for (std::size_t target = 0; target < known.size(); ++target) {
            credit[target] += shares[target];
            costs[target] = -credit[target];
        }
        --credit[static_cast<std::size_t>(std::min_element(costs.begin(), costs.end()) - costs.begin())];
        return costs;
    }
};

/// Own unanswered requests and decayed information, with the time on the target varied at random, as ReadTargetSelector
/// has it.
struct OwnAndVaried final : TargetChooser {
    Costs costs(Instant now, const KnownTargets& known, RandomEngine& random) override
    {
        Costs costs {};
        std::transform(known.begin(), known.end(), costs.begin(), [now, &random](const KnownTarget& target) {
            const auto network = target.load.networkTime().value_or(0us);
            return static_cast<double>(
                target.load.sampledTime(now, target.own, simulatedSlots, network, random).count());
        });
        return costs;
    }
};

struct Candidate {
    const char* name;
    ChooserFactory make;
};

template <typename Chooser> Candidate candidate(const char* name)
{
    return { name, [] { return std::make_unique<Chooser>(); } };
}

const std::vector<Candidate>& candidates()
{
    static const std::vector<Candidate> all { candidate<LeastKnownLoad>("least known load"),
        candidate<PowerOfTwoChoices>("two choices"), candidate<WeightedRandom>("weighted random"),
        candidate<OwnAndDecayed>("own and decayed"), candidate<SharesPerRound>("shares per round"),
        candidate<OwnAndVaried>("own, decayed, varied") };
    return all;
}

enum ScenarioIndex : std::size_t { Even, UnevenRegions, Swing, Slow, Unequal, GrayFailing, Flapping, Misreporting };

std::vector<ChoiceScenario> scenarios()
{
    constexpr std::array<double, simulatedTargets> uneven { 0.5, 0.3, 0.2 };
    ChoiceScenario even { "even", 0.7 };
    ChoiceScenario regions { "uneven regions", 0.75, uneven };
    ChoiceScenario swing { "swing by half", 0.65, uneven, 0.5 };
    ChoiceScenario slow { "slow target", 0.55 };
    slow.targets[0].slowness = 5;
    ChoiceScenario unequal { "unequal targets", 0.65 };
    unequal.targets[0].slowness = 1.5;
    unequal.targets[1].slowness = 0.8;
    ChoiceScenario gray { "gray-failing target", 0.5 };
    gray.targets[0].lostShare = 0.5;
    ChoiceScenario flapping { "flapping target", 0.5 };
    flapping.targets[0].flapPeriod = 1500ms;
    ChoiceScenario misreporting { "misreporting target", 0.75, uneven };
    misreporting.targets[0].isMisreporting = true;
    return { even, regions, swing, slow, unequal, gray, flapping, misreporting };
}

constexpr std::array<std::size_t, 3> hostCounts { 6, 27, 300 };

/// @return the mean of the figures over several seeds.
ChoiceFigures meanFigures(ChoiceScenario scenario, const ChooserFactory& make)
{
    constexpr std::uint64_t seeds = 8;
    ChoiceFigures mean;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        const auto figures = TargetChoiceSimulation(scenario, make).run();
        mean.spread += figures.spread / seeds;
        mean.avoidableShare += figures.avoidableShare / seeds;
        mean.meanWaitMs += figures.meanWaitMs / seeds;
        mean.slowestWaitMs += figures.slowestWaitMs / seeds;
        mean.remoteShare += figures.remoteShare / seeds;
        mean.unservedShare += figures.unservedShare / seeds;
    }
    return mean;
}

struct Comparison {
    ChoiceFigures leastKnown;
    ChoiceFigures chosen;
};

Comparison compare(ScenarioIndex index, std::size_t hosts)
{
    auto scenario = scenarios().at(index);
    scenario.hosts = hosts;
    return { meanFigures(scenario, candidates().front().make), meanFigures(scenario, candidates().back().make) };
}

} // namespace

// Guards against reads that keep going to a target five times as slow as the others, because its load is low.
TEST_CASE("A slow target gets the reads that it can serve", "[proxy][load]")
{
    for (const std::size_t hosts : { 6, 27 }) {
        const auto [leastKnown, chosen] = compare(Slow, hosts);
        CHECK(chosen.slowestWaitMs < 0.6 * leastKnown.slowestWaitMs);
        CHECK(chosen.meanWaitMs < 0.7 * leastKnown.meanWaitMs);
    }
}

// Guards against a target that reports its status as usual and never answers half of the statements.
TEST_CASE("A target that does not answer statements loses its reads", "[proxy][load]")
{
    for (const std::size_t hosts : { 6, 27 }) {
        const auto [leastKnown, chosen] = compare(GrayFailing, hosts);
        CHECK(chosen.unservedShare < 0.4 * leastKnown.unservedShare);
    }
}

// Guards against a queue at a target that reports no load.
TEST_CASE("A target that misreports its load is judged by its answers", "[proxy][load]")
{
    for (const std::size_t hosts : { 6, 27 }) {
        const auto [leastKnown, chosen] = compare(Misreporting, hosts);
        CHECK(chosen.meanWaitMs < 0.9 * leastKnown.meanWaitMs);
        CHECK(chosen.avoidableShare < leastKnown.avoidableShare);
    }
}

// Guards against targets that are overloaded in turn while the demand of one region exceeds its target's capacity.
TEST_CASE("Demand that swings by half is spread before reports show it", "[proxy][load]")
{
    for (const std::size_t hosts : { 6, 27 }) {
        const auto [leastKnown, chosen] = compare(Swing, hosts);
        CHECK(chosen.meanWaitMs < 0.9 * leastKnown.meanWaitMs);
        CHECK(chosen.remoteShare < leastKnown.remoteShare);
    }
}

// Guards against bytes between regions that reduce no wait.
TEST_CASE("Reads stay in their region while its target has capacity", "[proxy][load]")
{
    for (const std::size_t hosts : { 6, 27 }) {
        const auto [leastKnown, chosen] = compare(Even, hosts);
        CHECK(chosen.remoteShare < 0.05);
        CHECK(chosen.meanWaitMs < 1.05 * leastKnown.meanWaitMs);
    }
}

TEST_CASE("Table of the ways to choose a target", "[.][target-choice-table]")
{
    for (const auto hosts : hostCounts) {
        for (auto scenario : scenarios()) {
            scenario.hosts = hosts;
            for (const auto& [name, make] : candidates()) {
                const auto figures = meanFigures(scenario, make);
                std::printf("| %zu | %s | %s | %.2f | %.1f | %.1f | %.0f | %.1f | %.2f |\n", hosts, scenario.name, name,
                    figures.spread, figures.avoidableShare * 100, figures.meanWaitMs, figures.slowestWaitMs,
                    figures.remoteShare * 100, figures.unservedShare * 100);
            }
        }
    }
}
