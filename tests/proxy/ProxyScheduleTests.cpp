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
/// As long as the slowest deployment takes, with what its platform adds.
constexpr Duration slowPromotion = 1100ms;

std::uint64_t numberFrom(const char* variable, std::uint64_t fallback)
{
    const auto* const text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Plays one schedule: faults in series and overlapping, then everything heals.
/// @return the finished simulation.
std::unique_ptr<ProxySimulation> play(std::uint64_t seed, Duration promotionDelay = ProxySimulation::promotionDelay)
{
    constexpr int strikes = 8;
    auto simulation = std::make_unique<ProxySimulation>(seed, promotionDelay);
    simulation->run(3s);
    for (int strike = 0; strike < strikes; ++strike) {
        simulation->strike();
        simulation->run(simulation->between(100ms, 1500ms));
    }
    simulation->finish();
    return simulation;
}

} // namespace

// Seeds that failed once. 39: a fault of the fakes, traced. 33: passes since that was mended, not traced by itself. 59,
// 85, 171: a member was resumed while the former primary, which the promoting host could not reach, still led
// (docs/incidents/former-primary.md).
TEST_CASE("Promises hold in the schedules that failed once", "[proxy][schedule]")
{
    for (const std::uint64_t seed : { 33, 39, 59, 85, 171 }) {
        INFO("seed " << seed);
        CHECK(play(seed)->checker().violation() == "");
    }
    // 86: a former claimant resumed a member that the next one had fenced (docs/incidents/lost-after-return.md). 255: a
    // fenced member restarted without its fence (docs/incidents/lost-fence.md).
    for (const std::uint64_t seed : { 86, 255 }) {
        INFO("slow promotion, seed " << seed);
        CHECK(play(seed, slowPromotion)->checker().violation() == "");
    }
}

TEST_CASE("Promises hold where a promotion takes its time", "[proxy][schedule]")
{
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", defaultSchedules);
    for (auto each = seed; each < seed + schedules; ++each) {
        INFO("seed " << each);
        CHECK(play(each, slowPromotion)->checker().violation() == "");
    }
}

TEST_CASE("A host that stops while its call connects does not call after another host", "[proxy][schedule]")
{
    // Others claim, call and see the new primary meanwhile.
    constexpr Duration pause = 6s;
    ProxySimulation simulation(firstSeed);
    simulation.run(3s);
    simulation.freezeNextCaller(pause);
    simulation.crashPrimary();
    simulation.run(2 * pause);
    CHECK(simulation.checker().promotions() == 1);
    CHECK(simulation.checker().violation() == "");
}

TEST_CASE("Promises hold in random schedules of faults", "[proxy][schedule]")
{
    // PROXY_SCHEDULES and PROXY_SEED run more of them, or one again.
    const auto seed = numberFrom("PROXY_SEED", firstSeed);
    const auto schedules = numberFrom("PROXY_SCHEDULES", defaultSchedules);
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    std::size_t promotions = 0;
    for (auto each = seed; each < seed + schedules; ++each) {
        INFO("seed " << each);
        const auto simulation = play(each);
        CHECK(simulation->checker().violation() == "");
        acknowledged += simulation->checker().acknowledgedWrites();
        reads += simulation->checker().reads();
        promotions += simulation->checker().promotions();
    }
    std::cout << schedules << " schedules: " << acknowledged << " writes acknowledged, " << reads << " reads, "
              << promotions << " promotions\n";
    // A schedule in which nothing is served proves nothing.
    CHECK(acknowledged > schedules * 100);
    CHECK(reads > schedules * 100);
    CHECK(promotions > schedules / 4);
}

// A home that is cut off from the store has an older configuration than the host that passes a session on to it.
TEST_CASE("A session that was passed on is never refused for its database", "[proxy][homes]")
{
    ProxySimulation simulation(firstSeed);
    simulation.run(1s);
    const SessionId own(1001);
    const SessionId forwarded(1002);
    simulation.hostProxy(0).sessionOpened(simulation.now(), own, DatabaseName("unknown"));
    simulation.hostProxy(0).sessionOpened(simulation.now(), forwarded, DatabaseName("unknown"), true);
    CHECK(simulation.host(0).endingOf(own) == "refused");
    CHECK(simulation.host(0).endingOf(forwarded) == "closed");
}
