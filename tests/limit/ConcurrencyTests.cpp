#include "limit/ConcurrencyLimit.h"
#include "limit/OrganisationLimits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

namespace {

/// Runs the limit against a simulated target with @p slots concurrent requests while callers are always waiting.
/// @return the mean limit over the second half of the run.
double meanLimit(ConcurrencyLimit& limit, std::size_t slots, Instant& now, Duration service = 10ms)
{
    std::deque<std::pair<Instant, Instant>> inFlight;
    std::vector<Instant> free(slots, now);
    double sum = 0;
    constexpr int steps = 20000;
    for (int step = 0; step < steps; ++step, now += 1ms) {
        while (!inFlight.empty() && inFlight.front().second <= now) {
            limit.release(now, inFlight.front().second - inFlight.front().first, Completion::Answered);
            inFlight.pop_front();
        }
        while (limit.tryAcquire()) {
            auto& slot = *std::min_element(free.begin(), free.end());
            slot = std::max(slot, now) + service;
            inFlight.emplace_back(now, slot);
        }
        sum += step >= steps / 2 ? static_cast<double>(limit.limit()) : 0;
    }
    while (!inFlight.empty()) {
        limit.release(now, service, Completion::Unanswered);
        inFlight.pop_front();
    }
    return sum / (steps / 2.0);
}

} // namespace

TEST_CASE("The limit adapts to a target's slots and keeps its queue short", "[limit][concurrency]")
{
    ConcurrencyLimit limit;
    Instant now;
    const auto many = meanLimit(limit, 12, now);
    CHECK(many >= 12);
    CHECK(many <= 30);
    const auto few = meanLimit(limit, 3, now);
    CHECK(few >= 3);
    CHECK(few <= 9);
    SECTION("and adapts to a target that became permanently slower")
    {
        const auto slower = meanLimit(limit, 3, now, 40ms);
        CHECK(slower >= 2.5);
        CHECK(slower <= 9);
    }
}

TEST_CASE("Refusals lower the limit to its minimum, while low load leaves it unchanged", "[limit][concurrency]")
{
    ConcurrencyLimit limit({ 1, 64, 10 });
    Instant now = Instant {} + 1s;
    SECTION("refusals")
    {
        for (int round = 0; round < 100; ++round, now += 100ms) {
            REQUIRE(limit.tryAcquire());
            limit.release(now, 1ms, Completion::Refused);
        }
        CHECK(limit.limit() == 1);
    }
    SECTION("one request at a time")
    {
        for (int round = 0; round < 150; ++round, now += 100ms) {
            REQUIRE(limit.tryAcquire());
            limit.release(now, 10ms, Completion::Answered);
        }
        CHECK(limit.limit() == 10);
    }
}

TEST_CASE("A flood on one host leaves room for every other organisation", "[limit][organisation]")
{
    OrganisationLimits limits({ 100, 0.75, 1s });
    const Instant now = Instant {} + 1s;
    const OrganisationName flood("flood");
    while (limits.tryAdmit(now, flood)) { }
    CHECK(limits.inFlight(flood) == 100);
    // The flood was the only organisation; with a second one active it is limited to half of the capacity.
    CHECK_FALSE(limits.tryAdmit(now, OrganisationName("district")));
    for (int ended = 0; ended < 30; ++ended)
        limits.recordFinished(flood);
    for (int request = 0; request < 30; ++request) {
        limits.tryAdmit(now, flood);
        limits.tryAdmit(now, OrganisationName("district"));
    }
    CHECK(limits.inFlight(OrganisationName("district")) >= 25);
}
