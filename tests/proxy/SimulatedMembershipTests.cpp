#include "proxy/ProxySimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

const TargetName primary("t0");
const TargetName first("t1");
const TargetName second("t2");
const std::string write("directed");

/// A simulation of changing members before its callers begin.
class Members {
public:
    Members()
        : simulation(1, ProxySimulation::promotionDelay, MembershipModel::Changing)
    {
        simulation.run(500ms);
    }

    /// @return whether the commit is acknowledged when its flag is set.
    std::shared_ptr<bool> commit()
    {
        auto isAcknowledged = std::make_shared<bool>(false);
        simulation.commit(primary, { write }, [isAcknowledged](LogPoint) { *isAcknowledged = true; });
        return isAcknowledged;
    }

    [[nodiscard]] bool holdsWrite(const TargetName& name)
    {
        const auto& log = simulation.target(name)->log;
        return std::any_of(log.begin(), log.end(), [](const LogEntry& entry) { return entry.write == write; });
    }

    ProxySimulation simulation;
};

} // namespace

TEST_CASE("A simulated primary that crashed is the primary again unless another was promoted", "[proxy][simulation]")
{
    Members members;
    auto& simulation = members.simulation;
    const auto isAcknowledged = members.commit();
    simulation.run(50ms);
    CHECK(*isAcknowledged);

    SECTION("back before a promotion takes effect")
    {
        simulation.membership().crash(primary, 200ms);
        simulation.run(250ms);
        CHECK(simulation.currentPrimary() == simulation.target(primary));
    }
    SECTION("back after another was promoted")
    {
        simulation.membership().crash(primary, 3s);
        simulation.run(3050ms);
        CHECK(simulation.target(primary)->isRunning);
        CHECK_FALSE(simulation.target(primary)->isPrimary);
        CHECK(simulation.currentPrimary());
    }
    CHECK(members.holdsWrite(primary));
}

TEST_CASE("A simulated target may come back under a new name with its log", "[proxy][simulation]")
{
    Members members;
    auto& simulation = members.simulation;
    members.commit();
    simulation.run(50ms);
    simulation.membership().crash(first, 200ms, true);
    simulation.run(250ms);
    const auto* const renamed = simulation.targetAtAddressOf(first);
    REQUIRE(renamed);
    CHECK(renamed->record.name != first);
    CHECK(renamed->record.address == simulation.target(first)->record.address);
    CHECK(members.holdsWrite(renamed->record.name));
    CHECK(simulation.store().find(renamed->record.name));
    CHECK(simulation.store().find(first));
    simulation.run(SimulatedMembership::lapseTimeout);
    CHECK_FALSE(simulation.store().find(first));
}

TEST_CASE("What a demoted simulated primary sent arrives and is not acknowledged", "[proxy][simulation]")
{
    Members members;
    const auto isAcknowledged = members.commit();
    members.simulation.target(primary)->isPrimary = false;
    CHECK_FALSE(members.holdsWrite(first));
    members.simulation.run(50ms);
    CHECK(members.holdsWrite(first));
    CHECK_FALSE(*isAcknowledged);
}

TEST_CASE("A simulated replica acknowledges from its start until its end", "[proxy][simulation]")
{
    Members members;
    auto& simulation = members.simulation;
    simulation.setCut(primary, first, true);
    simulation.setCut(primary, second, true);
    const auto replica = simulation.membership().join(200ms);
    simulation.run(50ms);

    SECTION("before it has a record")
    {
        CHECK_FALSE(simulation.store().find(replica));
        const auto isAcknowledged = members.commit();
        simulation.run(50ms);
        CHECK(*isAcknowledged);
    }
    SECTION("while it leaves")
    {
        simulation.run(300ms);
        simulation.membership().leave(replica, 400ms);
        simulation.run(200ms);
        REQUIRE(simulation.store().find(replica));
        CHECK(simulation.store().find(replica)->isLeaving);
        const auto isAcknowledged = members.commit();
        simulation.run(50ms);
        CHECK(*isAcknowledged);
        simulation.run(500ms);
        CHECK_FALSE(simulation.target(replica)->isRunning);
        CHECK_FALSE(members.holdsWrite(replica));
        CHECK_FALSE(simulation.store().find(replica));
    }
}

TEST_CASE("A simulated replica that loses its record works on and is listed again", "[proxy][simulation]")
{
    Members members;
    auto& simulation = members.simulation;
    const auto version = simulation.store().version();
    simulation.membership().cutFromStore(first, 2s);
    simulation.run(SimulatedMembership::lapseTimeout + 100ms);
    CHECK_FALSE(simulation.store().find(first));
    CHECK(simulation.store().version() > version);
    members.commit();
    simulation.run(50ms);
    CHECK(members.holdsWrite(first));
    simulation.run(500ms);
    CHECK(simulation.store().find(first));
}

TEST_CASE("A killed simulated host starts without memory and serves its callers again", "[proxy][simulation]")
{
    Members members;
    auto& simulation = members.simulation;
    simulation.run(2s);
    simulation.restartHost(0, 300ms);
    simulation.run(200ms);
    CHECK(simulation.isHostPaused(0));
    simulation.run(105ms);
    CHECK(simulation.hostProxy(0).tables().at(StoreTable::Targets).rows.empty());
    simulation.run(1s);
    CHECK(simulation.hostProxy(0).sessions() == ProxySimulation::callersPerHost);
    const auto acknowledged = simulation.checker().acknowledgedWrites();
    simulation.pauseHost(1, 5s);
    simulation.pauseHost(2, 5s);
    simulation.run(2s);
    CHECK(simulation.checker().acknowledgedWrites() > acknowledged);
    CHECK(simulation.checker().violation() == "");
}
