#include "base/LogPoint.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

TEST_CASE("A log covers a point if neither its term nor its position is lower", "[base][log]")
{
    const LogPoint wanted { Term(3), Position(10) };
    CHECK(LogPoint { Term(3), Position(10) }.covers(wanted));
    CHECK(LogPoint { Term(4), Position(12) }.covers(wanted));
    CHECK_FALSE(LogPoint { Term(3), Position(9) }.covers(wanted));
    SECTION("a longer log that ends in an older term does not cover it")
    {
        CHECK_FALSE(LogPoint { Term(2), Position(99) }.covers(wanted));
    }
}
