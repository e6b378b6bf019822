#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Tracks which points of the primary's log a majority of the members holds, and whether the primary's term is open.
/// A position counts only when the log's last entry is of the primary's term: an older entry that a majority holds
/// can still be overwritten until a majority also holds an entry of the current term after it.
class DurabilityTracker {
public:
    explicit DurabilityTracker(const GroupSettings&);

    /// Starts a new term; waits for points of older terms end with NotDurable.
    void startTerm(Instant now, CommandOutbox&, const MemberTable&);
    /// Records the end of a member's log.
    void recordEnd(Instant now, CommandOutbox&, const MemberTable&, const TargetName&, const LogPoint& end);
    /// Adds a wait for a point that the primary of the point's term is known to hold.
    void addWait(Instant now, CommandOutbox&, const MemberTable&, WaitId, const LogPoint&, Instant deadline);
    /// Delays the next wait command to a target whose last one failed or ended without covering its point.
    void delayRetry(Instant now, const TargetName&);
    /// Ends the waits whose deadline has passed and sends the wait commands that are due.
    void tick(Instant now, CommandOutbox&, const MemberTable&);

    /// @return whether a majority holds the term-start entry of the current term.
    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    /// @return the highest point known to be durable.
    [[nodiscard]] const LogPoint& durablePoint() const { return m_durable; }
    [[nodiscard]] std::size_t waiting() const { return m_waits.size(); }

private:
    struct Wait {
        WaitId id;
        Instant deadline;
    };

    /// Opens the term and ends waits with Durable as far as a majority holds their points.
    void updateDurable(CommandOutbox&, const MemberTable&);
    void sendWaits(Instant now, CommandOutbox&, const MemberTable&);
    [[nodiscard]] std::optional<Position> majorityPosition(const MemberTable&) const;
    /// @return the point to wait for on the target; empty when no wait command is needed.
    [[nodiscard]] std::optional<LogPoint> pointToAwait(const TargetName&) const;

    const GroupSettings* m_settings;
    Term m_term;
    bool m_isOpen { false };
    LogPoint m_durable;
    /// Highest position of the current term that each member has reported.
    std::map<TargetName, Position> m_heldPositions;
    std::multimap<LogPoint, Wait> m_waits;
    std::map<TargetName, Instant> m_retryAt;
};

} // namespace Auburnpost::Group
