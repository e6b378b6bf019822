#pragma once

#include "proxy/ProxySimulation.h"

#include <catch2/catch.hpp>

namespace Auburnpost::Proxy {

/// A group with the primary t0 and the replicas t1 and t2 in a simulation with changing members.
class MembershipSchedule {
public:
    /// Time for the hosts to know the group and to serve callers, and for a new target to be known to them.
    static constexpr Duration settleTime = std::chrono::seconds(3);

    explicit MembershipSchedule(std::uint64_t seed = 1)
        : simulation(seed, ProxySimulation::promotionDelay, MembershipModel::Changing)
    {
        simulation.run(settleTime);
    }

    /// Cuts the primary from the replicas that were there from the start, or connects them again.
    void cutPrimary(bool isCut)
    {
        simulation.setCut(TargetName("t0"), TargetName("t1"), isCut);
        simulation.setCut(TargetName("t0"), TargetName("t2"), isCut);
    }

    /// Adds a replica that all hosts know.
    TargetName addKnownReplica()
    {
        const auto name = simulation.membership().join(std::chrono::milliseconds(100));
        simulation.run(settleTime);
        return name;
    }

    /// Ends all faults, and checks that no guarantee was broken and that the group is served.
    void check()
    {
        simulation.recoverAndCheck();
        CHECK(simulation.checker().violation() == "");
        CHECK(simulation.checker().lostWrites() == 0);
        CHECK(simulation.checker().acknowledgedWrites() > 100);
        CHECK(simulation.currentPrimary());
    }

    ProxySimulation simulation;
};

} // namespace Auburnpost::Proxy
