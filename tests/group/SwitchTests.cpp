#include "group/GroupSimulation.h"

#include <catch2/catch.hpp>

using namespace Auburnpost::Group;
using namespace std::chrono_literals;

TEST_CASE("A planned switch goes to the target that was asked for", "[group][switch]")
{
    GroupSimulation simulation({ .seed = 3 });
    simulation.run(3s);
    const auto wanted = (*simulation.primaryIndex() + 1) % 3;
    SECTION("at once when it holds the log")
    {
        simulation.requestSwitch(wanted);
        simulation.run(2s);
        CHECK(simulation.primaryIndex() == wanted);
    }
    SECTION("not before it holds the log")
    {
        const auto before = simulation.primaryIndex();
        simulation.setLag(wanted, 60s);
        simulation.run(1s);
        simulation.requestSwitch(wanted);
        simulation.run(8s);
        CHECK(simulation.primaryIndex() == before);
        simulation.setLag(wanted, 0s);
        simulation.run(16s);
        CHECK(simulation.primaryIndex() == wanted);
    }
    CHECK(simulation.isSettled());
    simulation.checkEnd();
    CHECK(simulation.violation().empty());
}

TEST_CASE("A member fenced above the primary's term comes back", "[group][switch]")
{
    GroupSimulation simulation({ .seed = 4 });
    simulation.run(3s);
    const auto primary = *simulation.primaryIndex();
    const auto stray = (primary + 1) % 3;
    simulation.fenceAlone(stray);
    simulation.run(1s);
    CHECK(simulation.checker().promotions().size() == 1);
    simulation.run(5s);
    CHECK(simulation.primaryIndex() == primary);
    CHECK(simulation.holdsPrimaryTerm(stray));
    CHECK(simulation.checker().promotions().size() == 2);
    CHECK(simulation.isSettled());
    CHECK(simulation.violation().empty());
}
