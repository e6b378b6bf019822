#include "limit/Cooldown.h"
#include "limit/RetryBudget.h"
#include "limit/RetryPolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Auburnpost;
using namespace Auburnpost::Limit;
using namespace std::chrono_literals;

TEST_CASE("Retries to a refusing target stay within the retry budget", "[limit][retry]")
{
    RetryBudget budget;
    const RetryPolicy policy;
    RandomEngine random(5);
    std::size_t attempts = 0;
    constexpr std::size_t requests = 6000;
    for (std::size_t request = 0; request < requests; ++request) {
        const auto arrival = Instant {} + 10ms * request;
        budget.recordRequest(arrival);
        for (std::uint32_t attempt = 1;; ++attempt) {
            ++attempts;
            const auto start = policy.nextStart(arrival, attempt, arrival + 2s, 10ms, {}, random);
            if (!start || !budget.tryRetry(arrival))
                break;
        }
    }
    // One retry per ten requests and half a retry in each of the 60 seconds.
    CHECK(attempts <= requests * 11 / 10 + 31);
    CHECK(attempts > requests);
}

TEST_CASE("No retry starts too late, too early or too often", "[limit][retry][property]")
{
    CHECK(rc::check([] {
        const RetryPolicy policy({ 4, { 20ms, 1s } });
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        const Instant now = Instant {} + 1s;
        const Duration cost(*rc::gen::inRange(0, 200'000));
        const auto deadline = now + Duration(*rc::gen::inRange(0, 400'000));
        const auto notBefore = now + Duration(*rc::gen::inRange(-100'000, 400'000));
        const auto attempts = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto start = policy.nextStart(now, attempts, deadline, cost, notBefore, random);
        if (!start) {
            RC_ASSERT(attempts >= 4U || std::max(now, notBefore) + cost > deadline);
            return;
        }
        RC_ASSERT(attempts < 4U);
        RC_ASSERT(*start >= now);
        RC_ASSERT(*start >= notBefore);
        RC_ASSERT(*start + cost <= deadline);
    }));
}

TEST_CASE(
    "A cool-down lasts at least as long as the target asks and counts concurrent refusals once", "[limit][cooldown]")
{
    RandomEngine random(1);
    Cooldown cooldown({ 100ms, 1s });
    const Instant now = Instant {} + 1s;
    CHECK(cooldown.isOver(now));
    cooldown.recordRefusal(now, 300ms, random);
    CHECK_FALSE(cooldown.isOver(now + 299ms));
    CHECK(cooldown.isOver(now + 300ms));
    const auto until = cooldown.until();
    for (int refusal = 0; refusal < 20; ++refusal)
        cooldown.recordRefusal(now, std::nullopt, random);
    CHECK(cooldown.until() == until);
}
