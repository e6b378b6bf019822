#include "proxy/ProxySimulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t defaultSchedules = 20;
constexpr Duration settleTime = 3s;
constexpr std::size_t maxStaying = 4;

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// A group with the primary t0 and two replicas, whose primary crashes and is back before its replacement takes effect.
class ReturnSchedule {
public:
    explicit ReturnSchedule(std::uint64_t seed = firstSeed)
        : simulation(seed, ProxySimulation::promotionDelay, MembershipModel::Changing)
    {
        simulation.run(settleTime);
    }

    /// Crashes the primary and starts a replica, which receives the log from its start.
    void crashAndJoin(Duration crashLength, Duration joinAfter, Duration recordDelay)
    {
        const auto* const primary = simulation.currentPrimary();
        if (!primary)
            return;
        simulation.membership().crash(primary->record.name, crashLength, true);
        simulation.after(joinAfter, [this, recordDelay] { simulation.membership().join(recordDelay); });
    }

    /// Plays one crash with random times, and a random fault of a host or of the store beside it.
    void playRandomReturn()
    {
        PromotionOrders::Order order { simulation.between(300ms, 1500ms), !simulation.chance(0.1) };
        if (simulation.chance(0.1))
            order.effectDelay = simulation.between(1500ms, 4s);
        simulation.orders().set(order);
        crashAndJoin(simulation.between(200ms, 1500ms), simulation.between(0ms, 2s), simulation.between(50ms, 500ms));
        const auto length = simulation.between(300ms, 2500ms);
        const auto host = simulation.random()() % ProxySimulation::hostCount;
        simulation.after(simulation.between(0ms, 1500ms), [this, host, length] { injectHostFault(host, length); });
        simulation.run(8s);
        const auto staying = simulation.membership().staying();
        const auto* const primary = simulation.currentPrimary();
        if (staying.size() <= maxStaying || !primary)
            return;
        for (const auto& name : staying) {
            if (name == primary->record.name)
                continue;
            simulation.membership().leave(name, 1s);
            break;
        }
        simulation.run(3s);
    }

    /// Ends all faults, and checks that no guarantee was broken and that callers were served.
    void check()
    {
        simulation.recoverAndCheck();
        CHECK(simulation.checker().violation() == "");
        CHECK(simulation.checker().lostWrites() == 0);
        CHECK(simulation.checker().acknowledgedWrites() > 100);
        CHECK(simulation.currentPrimary());
    }

    ProxySimulation simulation;

private:
    void injectHostFault(std::size_t host, Duration length)
    {
        switch (simulation.random()() % 5) {
        case 0:
            simulation.pauseHost(host, length);
            return;
        case 1:
            if (!simulation.isHostPaused(host))
                simulation.restartHost(host, length / 4);
            return;
        case 2:
            simulation.store().cutHost(host, simulation.now() + length);
            return;
        case 3:
            simulation.store().setDelay(simulation.between(50ms, 400ms));
            simulation.after(length, [this] { simulation.store().setDelay({}); });
            return;
        default:
            return;
        }
    }
};

} // namespace

// Guards against a target that is back under another name in the term that is being replaced, and acknowledges commits
// with a replica that the replacement does not know (docs/incidents/returned-primary.md).
TEST_CASE("A commit of a returned primary is not rolled back by the promotion that replaces it", "[proxy][returned]")
{
    const auto crashLength = GENERATE(300ms, 500ms, 800ms);
    const auto joinAfter = GENERATE(600ms, 950ms, 1150ms);
    INFO("crash of " << crashLength.count() << " ms, join after " << joinAfter.count() << " ms");
    ReturnSchedule schedule;
    schedule.simulation.orders().set({ 1000ms, true });
    schedule.crashAndJoin(crashLength, joinAfter, 100ms);
    schedule.simulation.run(6s);
    schedule.check();
}

// Guards against hosts on the primary's side of a partition, which see no fence (review/7).
TEST_CASE("A commit on the primary's side of a partition is not rolled back by the promotion on the other side",
    "[proxy][returned]")
{
    const auto joinAfter = GENERATE(1600ms, 1700ms, 1800ms, 2000ms, 2200ms);
    INFO("join after " << joinAfter.count() << " ms");
    ReturnSchedule schedule;
    auto& simulation = schedule.simulation;
    simulation.orders().set({ 1000ms, true });
    const auto cut = [&simulation](bool isCut) {
        for (const auto* const replica : { "t1", "t2" }) {
            simulation.setCut(TargetName("t0"), TargetName(replica), isCut);
            for (std::size_t host = 1; host < ProxySimulation::hostCount; ++host)
                simulation.setHostCut(host, TargetName(replica), isCut);
        }
        simulation.setHostCut(0, TargetName("t0"), isCut);
    };
    // Relays lead around the cuts of the hosts.
    simulation.setRelaying(false);
    cut(true);
    simulation.run(joinAfter);
    simulation.membership().join(100ms);
    simulation.run(3s);
    cut(false);
    simulation.run(5s);
    schedule.check();
}

TEST_CASE("Random schedules of returned primaries lose no commit", "[proxy][returned]")
{
    // The environment variables PROXY_SCHEDULES and PROXY_SEED set the number of schedules and the first seed.
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", defaultSchedules);
    constexpr int rounds = 3;
    std::size_t promotions = 0;
    for (auto each = seed; each < seed + schedules; ++each) {
        INFO("seed " << each);
        ReturnSchedule schedule(each);
        for (int round = 0; round < rounds; ++round)
            schedule.playRandomReturn();
        schedule.check();
        promotions += schedule.simulation.checker().promotions();
    }
    std::cout << schedules << " schedules of returned primaries: " << promotions << " promotions\n";
    CHECK(promotions > schedules);
}
