#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Tells when a majority of the members holds a point of the primary's log, and when the primary's term is open.
/// A position counts only where the log's last entry is of the primary's term: an older entry that a majority holds
/// can still be overwritten until an entry of the present term lies behind it on a majority.
class DurabilityTracker {
public:
    explicit DurabilityTracker(const GroupSettings&);

    /// Turns to a new term; waits for points of older terms end.
    void primaryLearned(Instant now, CommandOutbox&, const MemberTable&);
    /// Takes the end of a member's log.
    void observe(Instant now, CommandOutbox&, const MemberTable&, const TargetName&, const LogPoint& end);
    /// Adds a wait; the primary of the point's term is known to hold it.
    void await(Instant now, CommandOutbox&, const MemberTable&, WaitId, const LogPoint&, Instant deadline);
    /// Takes note that a wait command failed or ended without covering its point.
    void waitFailed(Instant now, const TargetName&);
    /// Ends the waits whose deadline passed and sends wait commands that are due.
    void tick(Instant now, CommandOutbox&, const MemberTable&);

    /// @return whether a majority holds the term-start entry of the present term.
    [[nodiscard]] bool isOpen() const { return m_open; }
    /// @return the highest point known to be durable.
    [[nodiscard]] const LogPoint& durablePoint() const { return m_durable; }
    [[nodiscard]] std::size_t waiting() const { return m_waits.size(); }

private:
    struct Wait {
        WaitId id;
        Instant deadline;
    };

    void settle(CommandOutbox&, const MemberTable&);
    void sendWaits(Instant now, CommandOutbox&, const MemberTable&);
    [[nodiscard]] std::optional<Position> heldByMajority(const MemberTable&) const;
    [[nodiscard]] std::optional<LogPoint> wantedFrom(const TargetName&) const;

    const GroupSettings* m_settings;
    Term m_term;
    bool m_open { false };
    LogPoint m_durable;
    /// Highest position of the present term that each member was seen to hold.
    std::map<TargetName, Position> m_held;
    std::multimap<LogPoint, Wait> m_waits;
    std::map<TargetName, Instant> m_retryAt;
};

} // namespace Auburnpost::Group
