#pragma once

#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <set>

namespace Auburnpost::Group {

/// Decides when a planned switch is wanted and to which target: on request, away from a leaving primary, or anew to
/// the same primary when a member is fenced above its term and so can't replicate from it.
class SwitchPlanner {
public:
    explicit SwitchPlanner(const GroupSettings&);

    void request(const TargetName& to) { m_requested = to; }
    void setLeaving(std::set<TargetName> leaving) { m_leaving = std::move(leaving); }
    [[nodiscard]] bool isLeaving(const TargetName& target) const { return m_leaving.contains(target); }
    /// Holds switches of this watcher back while another watcher's may run.
    void otherSwitchSeen(Instant now);

    /// @param rank of this watcher; those before it get a head start.
    /// @return the target to switch to now; empty when no switch is due.
    std::optional<TargetName> due(Instant now, const MemberTable&, std::size_t rank);

private:
    [[nodiscard]] std::optional<TargetName> wanted(Instant now, const MemberTable&);
    [[nodiscard]] std::optional<TargetName> successor(const MemberTable&, const KnownPrimary&) const;

    const GroupSettings* m_settings;
    std::optional<TargetName> m_requested;
    std::set<TargetName> m_leaving;
    /// Since when a member is fenced above the primary's term.
    std::optional<Instant> m_fencedOutSince;
    /// When this watcher's turn comes, once a switch is wanted.
    std::optional<Instant> m_dueAt;
    Instant m_heldUntil {};
};

} // namespace Auburnpost::Group
