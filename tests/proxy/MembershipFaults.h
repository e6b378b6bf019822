#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

class ProxySimulation;

/// Injects random faults while members of the group change. Faults that hide a member from the hosts, as a late record
/// does, and faults that hide the primary do not overlap: without the primary, no host could tell that a member which
/// it can't know of has acknowledged a commit.
class MembershipFaults {
public:
    explicit MembershipFaults(ProxySimulation&);

    /// Injects one random fault that is possible now.
    void inject();

    /// States that hosts may not know a member until the given time.
    void hideMember(Instant until) { m_hidesMemberUntil = std::max(m_hidesMemberUntil, until); }
    [[nodiscard]] std::optional<TargetName> primary() const;
    [[nodiscard]] std::size_t randomHost();
    /// @return a random replica that stays; empty when there is none.
    [[nodiscard]] std::optional<TargetName> randomReplica();
    [[nodiscard]] Duration recordDelay();
    /// Cuts the target from each of the others with the given chance.
    void cutFromTargets(const TargetName&, Duration, double share = 0.7);

private:
    using Fault = bool (MembershipFaults::*)(Duration);

    // Each injects the fault for the given time, or returns false if the group does not allow it now.
    bool joinTarget(Duration);
    bool leaveTarget(Duration);
    bool leavePrimary(Duration);
    bool releaseAll(Duration);
    bool lapseRecord(Duration);
    bool slowStore(Duration);
    bool refuseHost(Duration);
    bool isolateHost(Duration);
    bool restartHost(Duration);
    bool pauseHost(Duration);
    bool crashTarget(Duration);
    bool crashPrimary(Duration);
    bool cutPrimaryFromHosts(Duration);
    bool cutPrimaryFromTargets(Duration);
    bool cutTarget(Duration);
    // Faults of which one makes the other dangerous.
    bool replacePrimary(Duration);
    bool cutPrimaryAsTargetEnds(Duration);
    bool crashPrimaryWithLateOrder(Duration);
    bool switchPrimaryBehindHost(Duration);
    bool restartHostsWithoutRecord(Duration);

    [[nodiscard]] bool isPrimaryHidden() const;
    [[nodiscard]] bool mayHideMember() const;
    [[nodiscard]] bool mayHidePrimary() const;
    [[nodiscard]] bool mayRestart(std::size_t host) const;

    ProxySimulation& m_simulation;
    Instant m_releasingUntil {};
    Instant m_hidesPrimaryUntil {};
    Instant m_hidesMemberUntil {};
};

} // namespace Auburnpost::Proxy
