#include "engine/OutcomeKeys.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;

TEST_CASE("The keys of two organisations never meet", "[engine][outcome]")
{
    CHECK(OutcomeKeys::ofCaller(OrganisationName("a"), "b:c") != OutcomeKeys::ofCaller(OrganisationName("a:b"), "c"));
    CHECK(OutcomeKeys::ofCaller(OrganisationName("a"), "x") == OutcomeKeys::ofCaller(OrganisationName("a"), "x"));
}

TEST_CASE("A caller's key is told from one that a host made", "[engine][outcome]")
{
    CHECK(OutcomeKeys::isCallers(OutcomeKeys::ofCaller(OrganisationName("a"), "x")));
    CHECK_FALSE(OutcomeKeys::isCallers(OutcomeKeys::ofHost(HostName("host-1"), Incarnation(1), 1)));
}
