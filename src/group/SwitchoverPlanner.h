#pragma once

#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <set>

namespace Auburnpost::Group {

/// Decides when a switchover is due and to which target: on request, away from a leaving primary, or to the same
/// primary again when a member is fenced above its term and therefore can't replicate from it.
class SwitchoverPlanner {
public:
    explicit SwitchoverPlanner(const GroupSettings&);

    /// Requests a switchover. The request is kept until @p to is primary or no longer a member, and has no effect while
    /// @p to is leaving.
    void request(const TargetName& to) { m_requested = to; }
    void setLeaving(std::set<TargetName> leaving) { m_leaving = std::move(leaving); }
    [[nodiscard]] bool isLeaving(const TargetName& target) const { return m_leaving.contains(target); }
    /// Holds back switchovers of this watcher for drainLimit and catchUpLimit, as one of another watcher may be
    /// running.
    void holdForOther(Instant now);

    /// @param rank rank of this watcher; the watchers before it get a head start.
    /// @return the target to promote now; empty when no switchover is due.
    std::optional<TargetName> dueTarget(Instant now, const MemberTable&, std::size_t rank);

private:
    [[nodiscard]] std::optional<TargetName> wantedTarget(Instant now, const MemberTable&);
    /// @return the member whose log ends highest, preferably in the data centre of the leaving primary; empty when none
    /// is suitable.
    [[nodiscard]] std::optional<TargetName> successor(const MemberTable&, const KnownPrimary&) const;

    const GroupSettings* m_settings;
    std::optional<TargetName> m_requested;
    std::set<TargetName> m_leaving;
    /// When a member was first found fenced above the primary's term; empty while none is.
    std::optional<Instant> m_fencedAboveSince;
    /// Earliest moment of a switchover by this watcher; empty while none is wanted.
    std::optional<Instant> m_dueAt;
    Instant m_heldUntil {};
};

} // namespace Auburnpost::Group
