#include "limit/ConnectionBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Auburnpost;
using namespace Auburnpost::Limit;

TEST_CASE("The homes together stay below nine tenths of the cap", "[limit][connections]")
{
    for (std::size_t cap = 1; cap <= 120; ++cap) {
        for (std::size_t homes = 1; homes <= 12; ++homes) {
            const ConnectionBudget budget({ cap, homes });
            REQUIRE(budget.share() >= 1);
            REQUIRE((budget.share() == 1 || 10 * budget.share() * homes <= 9 * cap));
        }
    }
}

TEST_CASE("Connections never exceed the share, nor pinned connections half of it", "[limit][connections][property]")
{
    CHECK(rc::check([] {
        const auto cap = *rc::gen::inRange<std::size_t>(1, 60);
        ConnectionBudget budget({ cap, *rc::gen::inRange<std::size_t>(1, 6) });
        RandomEngine random(1);
        Instant now;
        const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 9));
        for (const auto step : steps) {
            now += std::chrono::milliseconds(40);
            if (step <= 1)
                budget.connectionsToOpen(now, static_cast<std::size_t>(step) * 30);
            if (step == 2 && budget.opening())
                budget.recordOpened(now);
            if (step == 3 && budget.opening())
                budget.recordOpenFailure(now, random);
            if (step == 4)
                budget.acquire(now);
            if (step == 5)
                budget.pin(now);
            if (step == 6 && budget.busy())
                budget.returnConnection(now);
            if (step == 7 && budget.pinned())
                budget.unpin(now);
            if (step == 8)
                budget.connectionsToClose(now);
            RC_ASSERT(budget.total() <= budget.share());
            RC_ASSERT(budget.pinned() <= budget.pinnedLimit());
        }
    }));
}

TEST_CASE("Spare connections are opened in advance", "[limit][connections]")
{
    ConnectionBudget budget({ 50, 3 });
    Instant now;
    CHECK(budget.connectionsToOpen(now, 0) == 2);
    budget.recordOpened(now);
    budget.recordOpened(now);
    CHECK(budget.acquire(now));
    CHECK(budget.connectionsToOpen(now, 0) == 1);
    CHECK(budget.connectionsToOpen(now, 0) == 0);
}

TEST_CASE("After a refused connect, connects back off and start one at a time", "[limit][connections][backoff]")
{
    ConnectionBudget budget({ 50, 1 });
    RandomEngine random(3);
    Instant now;
    std::size_t connects = 0;
    for (int step = 0; step < 6000; ++step, now += std::chrono::milliseconds(10)) {
        const auto count = budget.connectionsToOpen(now, 20);
        connects += count;
        if (step)
            REQUIRE(count <= 1);
        for (std::size_t refused = 0; refused < count; ++refused)
            budget.recordOpenFailure(now, random);
    }
    // One minute of refusals with back-offs of up to 5 s.
    CHECK(connects >= 10);
    CHECK(connects <= 60);
}

TEST_CASE("Idle connections close after their timeout, and at once above a smaller share", "[limit][connections]")
{
    ConnectionBudget budget({ 50, 3 });
    Instant now;
    for (int round = 0; round < 3; ++round) {
        for (auto count = budget.connectionsToOpen(now, 10); count; --count)
            budget.recordOpened(now);
    }
    const auto open = budget.total();
    CHECK(open > 4);
    CHECK(budget.connectionsToClose(now) == 0);
    SECTION("timeout")
    {
        CHECK(budget.connectionsToClose(now + std::chrono::seconds(30)) == open - 2);
    }
    SECTION("smaller share")
    {
        budget.setShare(50, 15);
        CHECK(budget.connectionsToClose(now) == open - 3);
        CHECK(budget.total() == budget.share());
    }
}
