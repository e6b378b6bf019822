#include "group/GroupSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

// Not part of the default run: group_tests "[measure]" prints the figures of docs/GROUPS.md.

namespace {

constexpr int failovers = 100;

struct FailoverGap {
    Duration detect {};
    Duration promote {};
    Duration learn {};
    Duration write {};
};

std::optional<Instant> firstEvent(const GroupSimulation& simulation, LogEvent event, Instant after)
{
    for (const auto& [at, each] : simulation.events()) {
        if (each == event && at >= after)
            return at;
    }
    return std::nullopt;
}

template <typename Fault> FailoverGap measureGap(std::uint64_t seed, Fault fault)
{
    GroupSimulation simulation({ .seed = seed, .writeInterval = 2ms });
    simulation.run(3s + Duration(seed * 1711));
    const auto failed = *simulation.primaryIndex();
    const auto failedAt = simulation.now();
    const auto acknowledged = simulation.checker().acknowledgements();
    fault(simulation, failed);
    while (simulation.now() < failedAt + 9s && !firstEvent(simulation, LogEvent::PrimaryPromoted, failedAt))
        simulation.run(1ms);
    while (simulation.now() < failedAt + 9s && !simulation.hasConverged())
        simulation.run(1ms);
    const auto convergedAt = simulation.now();
    while (simulation.now() < failedAt + 9s && simulation.checker().lastAcknowledgedAt() < convergedAt - 20ms)
        simulation.run(1ms);
    REQUIRE(simulation.violation().empty());
    REQUIRE(simulation.checker().acknowledgements() > acknowledged);
    const auto started = firstEvent(simulation, LogEvent::FailoverStarted, failedAt).value();
    const auto promoted = firstEvent(simulation, LogEvent::PrimaryPromoted, failedAt).value();
    return { started - failedAt, promoted - started, convergedAt - promoted, simulation.now() - failedAt };
}

void print(const std::string& name, std::vector<Duration> times)
{
    std::sort(times.begin(), times.end());
    const auto at = [&](std::size_t percent) { return toMilliseconds(times[(times.size() - 1) * percent / 100]); };
    std::cout << name << ": median " << at(50) << " ms, 95 % " << at(95) << " ms, highest " << at(100) << " ms\n";
}

template <typename Fault> void measureGaps(const std::string& name, Fault fault)
{
    std::vector<Duration> detect;
    std::vector<Duration> promote;
    std::vector<Duration> learn;
    std::vector<Duration> whole;
    for (int run = 1; run <= failovers; ++run) {
        const auto gap = measureGap(static_cast<std::uint64_t>(run), fault);
        detect.push_back(gap.detect);
        promote.push_back(gap.promote);
        learn.push_back(gap.learn);
        whole.push_back(gap.write);
    }
    print(name + " detect and vote", detect);
    print(name + " fence and promote", promote);
    print(name + " learn and open", learn);
    print(name + " until a write is acknowledged", whole);
}

} // namespace

TEST_CASE("Phases of the failover gap", "[.][measure]")
{
    measureGaps("killed", [](GroupSimulation& simulation, std::size_t primary) { simulation.killTarget(primary); });
    measureGaps(
        "frozen", [](GroupSimulation& simulation, std::size_t primary) { simulation.freezeTarget(primary, 30s); });
    measureGaps(
        "cut off", [](GroupSimulation& simulation, std::size_t primary) { simulation.cutTarget(primary, true); });
}

TEST_CASE("Promotions over an hour without a failed primary", "[.][measure]")
{
    GroupSimulation simulation({ .seed = 7, .writeInterval = 500ms });
    simulation.run(5s);
    const auto before = simulation.checker().promotions().size();
    for (int minute = 0; minute < 60; ++minute) {
        simulation.setLag(static_cast<std::size_t>(minute % 3), std::chrono::seconds(minute % 30));
        simulation.setSlow(static_cast<std::size_t>((minute + 1) % 3), 300ms);
        for (int part = 0; part < 6; ++part) {
            simulation.freezeWatcher(simulation.random()() % 3, simulation.network().between(1s, 2s));
            simulation.run(10s);
        }
        simulation.setSlow(static_cast<std::size_t>((minute + 1) % 3), 0ms);
        simulation.setLag(static_cast<std::size_t>(minute % 3), 0ms);
    }
    std::cout << "promotions in an hour without a failed primary: " << simulation.checker().promotions().size() - before
              << "\n";
    CHECK(simulation.violation().empty());
}
