#pragma once

#include "proxy/MembershipFaults.h"

namespace Auburnpost::Proxy {

/// Injects random faults that strike a replacement of the primary: targets that are replaced while there is no primary,
/// lease holders that are paused after a demotion, hosts with lists of different ages, and hosts of which a part
/// reaches the primary. Half of the faults are those of MembershipFaults.
class ReplacementFaults {
public:
    explicit ReplacementFaults(ProxySimulation&);

    /// Injects one random fault that is possible now.
    void inject();

private:
    using Fault = bool (ReplacementFaults::*)(Duration);

    // Each injects the fault for the given time, or returns false if the group does not allow it now.
    bool replaceTargets(Duration);
    bool crashPrimaryAndReplaceTargets(Duration);
    bool pauseSwitchHolder(Duration);
    bool keepList(Duration);
    bool cutHostsAsTargetJoins(Duration);
    bool leaveHostWithOldPrimary(Duration);

    /// Replaces random targets one after another, whether or not there is a primary.
    void replaceNext(int count, Duration interval);
    /// Often keeps the hosts from relaying connections for each other.
    void stopRelaying(Duration);

    ProxySimulation& m_simulation;
    MembershipFaults m_others;
};

} // namespace Auburnpost::Proxy
