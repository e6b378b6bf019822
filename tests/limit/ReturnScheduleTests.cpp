#include "limit/ReturnSchedule.h"

#include <catch2/catch.hpp>
#include <map>

using namespace Auburnpost;
using namespace Auburnpost::Limit;
using namespace std::chrono_literals;

TEST_CASE("Callers refused in one moment return one after the other", "[limit][retry]")
{
    // Guards against refused callers that return together and are refused together again.
    ReturnSchedule schedule;
    const Instant now { 5s };
    CHECK(schedule.next(now, 200ms, 10ms, 1s) == 200ms);
    CHECK(schedule.next(now, 200ms, 10ms, 1s) == 210ms);
    CHECK(schedule.next(now + 5ms, 200ms, 10ms, 1s) == 215ms);
    SECTION("after a pause the first one returns at the earliest time again")
    {
        CHECK(schedule.next(now + 1s, 200ms, 10ms, 1s) == 200ms);
    }
    SECTION("above the capacity they share the times up to the latest one")
    {
        std::map<Duration, int> returns;
        for (int refused = 0; refused < 1000; ++refused)
            ++returns[schedule.next(now, 200ms, 10ms, 1s)];
        CHECK(returns.rbegin()->first <= 1s);
        CHECK(returns.begin()->first >= 200ms);
        for (const auto& [delay, count] : returns)
            CHECK(count <= 14);
    }
}
