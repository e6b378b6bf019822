#include "group/AgeTracker.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Group;
using namespace std::chrono_literals;

namespace {

const Instant start(100s);

LogPoint point(std::uint64_t term, std::uint64_t position)
{
    return { Term(term), Position(position) };
}

} // namespace

TEST_CASE("The age of a log is bounded by the last sample of the primary that the log covers", "[group][age]")
{
    AgeTracker ages;
    CHECK_FALSE(ages.ageOf(start, point(1, 5)));
    ages.recordPrimaryEnd(start, point(1, 5));
    ages.recordPrimaryEnd(start + 1s, point(1, 8));
    ages.confirmTerm(Term(1), start + 1s);
    CHECK(ages.ageOf(start + 2s, point(1, 8)) == Duration(1s));
    CHECK(ages.ageOf(start + 2s, point(1, 7)) == Duration(2s));
    CHECK_FALSE(ages.ageOf(start + 2s, point(1, 4)));
    SECTION("a sample counts only up to the last confirmation that the primary was not replaced")
    {
        ages.recordPrimaryEnd(start + 9s, point(1, 9));
        CHECK(ages.ageOf(start + 10s, point(1, 9)) == Duration(9s));
    }
    SECTION("the age of a log of an older term grows, however long the log is")
    {
        ages.recordPrimaryEnd(start + 5s, point(2, 9));
        ages.confirmTerm(Term(2), start + 5s);
        CHECK(ages.ageOf(start + 6s, point(1, 99)) == Duration(5s));
        CHECK(ages.ageOf(start + 6s, point(2, 9)) == Duration(1s));
    }
    SECTION("the number of samples is bounded")
    {
        for (std::uint64_t second = 2; second < 10000; ++second)
            ages.recordPrimaryEnd(start + std::chrono::seconds(second), point(1, 10 + second));
        CHECK(ages.samples() <= 512);
    }
}
