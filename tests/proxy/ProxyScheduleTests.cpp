#include "proxy/ProxySimulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t defaultSchedules = 40;
constexpr std::uint64_t firstSeed = 1;
/// Promotion time of the slowest deployment, including the delay that its platform adds.
constexpr Duration slowPromotion = 1100ms;

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Runs one schedule: successive and overlapping faults, then recovery from all of them.
/// @return the finished simulation.
std::unique_ptr<ProxySimulation> runSchedule(
    std::uint64_t seed, Duration promotionDelay = ProxySimulation::promotionDelay)
{
    constexpr int faults = 8;
    auto simulation = std::make_unique<ProxySimulation>(seed, promotionDelay);
    simulation->run(3s);
    for (int fault = 0; fault < faults; ++fault) {
        simulation->injectFault();
        simulation->run(simulation->between(100ms, 1500ms));
    }
    simulation->recoverAndCheck();
    return simulation;
}

} // namespace

// Regression test with seeds that failed. Seed 39: a fault of the fakes. Seed 33: passed once that fault was fixed;
// its own cause was not traced. Seeds 59, 85, 171: a member was resumed while the former primary, which the promoting
// host could not reach, was still primary (docs/incidents/former-primary.md).
TEST_CASE("Guarantees hold in the schedules that failed before", "[proxy][schedule]")
{
    for (const std::uint64_t seed : { 33, 39, 59, 85, 171 }) {
        INFO("seed " << seed);
        CHECK(runSchedule(seed)->checker().violation() == "");
    }
    // Seed 86: a former lease holder resumed a member that the next holder had fenced
    // (docs/incidents/lost-after-return.md). Seed 255: a fenced member restarted without its fence
    // (docs/incidents/lost-fence.md).
    for (const std::uint64_t seed : { 86, 255 }) {
        INFO("slow promotion, seed " << seed);
        CHECK(runSchedule(seed, slowPromotion)->checker().violation() == "");
    }
}

TEST_CASE("Guarantees hold in random schedules with slow promotions", "[proxy][schedule]")
{
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", defaultSchedules);
    for (auto each = seed; each < seed + schedules; ++each) {
        INFO("seed " << each);
        CHECK(runSchedule(each, slowPromotion)->checker().violation() == "");
    }
}

TEST_CASE("A host paused while its call connects does not call after another host", "[proxy][schedule]")
{
    // Long enough for another host to acquire the lease, call, and see the new primary.
    constexpr Duration pause = 6s;
    ProxySimulation simulation(firstSeed);
    simulation.run(3s);
    simulation.pauseNextPromotionCaller(pause);
    simulation.crashPrimary();
    simulation.run(2 * pause);
    CHECK(simulation.checker().promotions() == 1);
    CHECK(simulation.checker().violation() == "");
}

TEST_CASE("Guarantees hold in random schedules of faults", "[proxy][schedule]")
{
    // The environment variables PROXY_SCHEDULES and PROXY_SEED set the number of schedules and the first seed.
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", defaultSchedules);
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t promotions = 0;
    for (auto each = seed; each < seed + schedules; ++each) {
        INFO("seed " << each);
        const auto simulation = runSchedule(each);
        CHECK(simulation->checker().violation() == "");
        acknowledged += simulation->checker().acknowledgedWrites();
        reads += simulation->checker().reads();
        promotions += simulation->checker().promotions();
    }
    std::cout << schedules << " schedules: " << acknowledged << " writes acknowledged, " << reads << " reads, "
              << promotions << " promotions\n";
    // Schedules in which nothing is served would pass without a check.
    CHECK(acknowledged > schedules * 100);
    CHECK(reads > schedules * 100);
    CHECK(promotions > schedules / 4);
}

// Guards against refusing a valid database: a home that is cut off from the store may have an older configuration than
// the host that forwards a session to it.
TEST_CASE("A forwarded session is never refused because of its database", "[proxy][homes]")
{
    ProxySimulation simulation(firstSeed);
    simulation.run(1s);
    const SessionId own(1001);
    const SessionId forwarded(1002);
    simulation.hostProxy(0).sessionOpened(simulation.now(), own, { DatabaseName("unknown") });
    simulation.hostProxy(0).sessionOpened(simulation.now(), forwarded, { DatabaseName("unknown"), {}, true });
    CHECK(simulation.host(0).endingOf(own) == "refused");
    CHECK(simulation.host(0).endingOf(forwarded) == "closed");
}
