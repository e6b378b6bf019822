#include "group/GroupSimulation.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Group;
using namespace std::chrono_literals;

TEST_CASE("A switchover promotes the requested target", "[group][switch]")
{
    GroupSimulation simulation({ .seed = 3 });
    simulation.run(3s);
    const auto requested = (*simulation.primaryIndex() + 1) % 3;
    SECTION("at once when it holds the whole log")
    {
        simulation.requestSwitchover(requested);
        simulation.run(2s);
        CHECK(simulation.primaryIndex() == requested);
    }
    SECTION("not before it holds the whole log")
    {
        const auto before = simulation.primaryIndex();
        simulation.setLag(requested, 60s);
        simulation.run(1s);
        simulation.requestSwitchover(requested);
        simulation.run(8s);
        CHECK(simulation.primaryIndex() == before);
        simulation.setLag(requested, 0s);
        simulation.run(16s);
        CHECK(simulation.primaryIndex() == requested);
    }
    CHECK(simulation.hasConverged());
    simulation.checkFinalState();
    CHECK(simulation.violation().empty());
}

TEST_CASE("A member fenced above the primary's term replicates again", "[group][switch]")
{
    GroupSimulation simulation({ .seed = 4 });
    simulation.run(3s);
    const auto primary = *simulation.primaryIndex();
    const auto fencedMember = (primary + 1) % 3;
    simulation.fenceAlone(fencedMember);
    simulation.run(1s);
    CHECK(simulation.checker().promotions().size() == 1);
    simulation.run(5s);
    CHECK(simulation.primaryIndex() == primary);
    CHECK(simulation.holdsPrimaryTerm(fencedMember));
    CHECK(simulation.checker().promotions().size() == 2);
    CHECK(simulation.hasConverged());
    CHECK(simulation.violation().empty());
}
