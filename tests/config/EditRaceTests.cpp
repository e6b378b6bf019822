#include "config/ConfigSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

rc::Gen<Auburnpost::Duration> timeWithin(std::chrono::milliseconds limit)
{
    return rc::gen::map(rc::gen::inRange<int>(0, static_cast<int>(limit.count())),
        [](int time) { return Auburnpost::Duration(std::chrono::milliseconds(time)); });
}

rc::Gen<PlannedEdit> plannedEdit()
{
    return rc::gen::build<PlannedEdit>(rc::gen::set(&PlannedEdit::at, timeWithin(20s)),
        rc::gen::set(&PlannedEdit::host, rc::gen::inRange<std::size_t>(0, ConfigSimulation::hostCount)),
        rc::gen::set(&PlannedEdit::section,
            rc::gen::element<std::string>("placement", "organisations", "staleness", "staleness")),
        rc::gen::set(&PlannedEdit::isBased));
}

rc::Gen<std::vector<PlannedRestart>> plannedRestarts()
{
    const auto restart = rc::gen::build<PlannedRestart>(rc::gen::set(&PlannedRestart::at, timeWithin(25s)),
        rc::gen::set(&PlannedRestart::host, rc::gen::inRange<std::size_t>(0, ConfigSimulation::hostCount)));
    return rc::gen::container<std::vector<PlannedRestart>>(restart);
}

Plan anyPlan()
{
    Plan plan;
    plan.seed = *rc::gen::arbitrary<std::uint64_t>();
    plan.edits = *rc::gen::container<std::vector<PlannedEdit>>(plannedEdit());
    plan.restarts = *plannedRestarts();
    plan.outageAt = *timeWithin(20s);
    plan.outageLength = *timeWithin(30s);
    plan.lossPercent = *rc::gen::element(0, 5, 30);
    return plan;
}

} // namespace

TEST_CASE("Concurrent edits are stored once, revert no other edit, and reach every host", "[config][edit][property]")
{
    std::size_t accepted = 0;
    const bool holds = rc::check("accepted edits take effect on every host and are not reverted", [&accepted] {
        ConfigSimulation simulation(anyPlan());
        const auto violations = simulation.run();
        accepted += simulation.acceptedCount();
        for (const auto& violation : violations)
            RC_FAIL(violation);
    });
    CHECK(holds);
    // Guards against schedules with so many failures that no edit is accepted and nothing is tested.
    CHECK(accepted > 0);
}
