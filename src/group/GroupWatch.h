#pragma once

#include "base/Random.h"
#include "group/GroupAction.h"
#include "group/GroupSettings.h"
#include "group/GroupView.h"

#include <memory>
#include <set>

namespace Auburnpost::Group {

struct GroupState;

/// Watches one database group on one host: probes the members, votes on the primary, carries out failovers, and
/// confirms durability and freshness. It does no I/O: time and randomness are passed in, and each call returns the
/// actions that its owner has to carry out.
class GroupWatch {
public:
    /// @param now current time.
    /// @param database the group's database.
    /// @param self name of this host.
    /// @param incarnation of this host; no two runs of a host share one.
    /// @param members the targets of the group.
    /// @param settings intervals and time limits.
    GroupWatch(Instant now, DatabaseName database, HostName self, Incarnation incarnation,
        std::vector<GroupMember> members, const GroupSettings& settings = {});
    ~GroupWatch();
    GroupWatch(GroupWatch&&) noexcept;
    GroupWatch& operator=(GroupWatch&&) noexcept;

    /// Sends probes, votes and retries that are due and ends what has timed out. To be called about every 10 to 50 ms.
    GroupActions tick(Instant now, RandomEngine&);
    /// Handles the answer to a command that this watch requested.
    GroupActions handleCommandAnswer(Instant now, const TargetName&, CorrelationId, const GroupStatus&);
    /// Handles a command that was not answered. The code of the error distinguishes a refused connect from other
    /// failures.
    GroupActions handleCommandFailure(Instant now, const TargetName&, CorrelationId, const Error&);
    /// Handles a target's status that came with the answer to a statement or connect sent at @p sentAt.
    GroupActions handleTargetStatus(Instant now, const TargetName&, Instant sentAt, const TargetStatus&);
    /// Handles the vote of another watcher.
    GroupActions handleVote(Instant now, const HostName& from, const WatcherVote&);

    /// Sets the watchers of the group in rank order. Without this host among them the watch only observes.
    GroupActions setWatchers(Instant now, std::vector<HostName>);
    /// Sets the members. Majorities of the old and the new set must overlap: change one member at a time.
    GroupActions setMembers(Instant now, std::vector<GroupMember>);
    /// Sets the members that are to leave; a primary among them is replaced by a switchover.
    GroupActions setLeaving(Instant now, std::set<TargetName>);
    /// Requests a switchover. To be called on every watcher; rank decides which of them carries it out.
    GroupActions requestSwitchover(Instant now, const TargetName& to);
    /// Holds back switchovers by this host after another watcher has requested it to drain its writes.
    GroupActions handleDrainRequest(Instant now, const HostName& from);
    /// Records that a watcher has no write in flight any more for the switchover.
    GroupActions recordDrained(Instant now, const HostName& from, SwitchoverId);

    /// Waits until a majority holds @p point, which the primary of the point's term reported after a write.
    /// Ends with Durable or NotDurable, at the latest in the first tick after @p deadline.
    GroupActions awaitDurable(Instant now, WaitId, const LogPoint& point, Instant deadline);
    /// Requests a confirmation that the primary's term was not replaced at a moment after this call.
    /// Ends with Confirmed or NotConfirmed, at the latest in the first tick after @p deadline.
    GroupActions confirm(Instant now, ConfirmationId, Instant deadline);

    /// @return the primary of the highest term found; empty when none is known.
    [[nodiscard]] std::optional<PrimaryView> primary(Instant now) const;
    /// @return an upper bound of the age of a log that ends at @p end: the log holds each write acknowledged before
    /// @p now minus that age. Empty when no bound is known.
    [[nodiscard]] std::optional<Duration> ageOf(Instant now, const LogPoint& end) const;
    /// @return the last status received from a member; empty when there is none.
    [[nodiscard]] std::optional<TargetStatus> statusOf(const TargetName&) const;
    /// @return the highest point known to be held by a majority in an open term.
    [[nodiscard]] LogPoint durablePoint() const;
    [[nodiscard]] std::vector<MemberView> members(Instant now) const;
    [[nodiscard]] GroupDump dump(Instant now) const;
    [[nodiscard]] const DatabaseName& database() const;

private:
    std::unique_ptr<GroupState> m_state;
};

} // namespace Auburnpost::Group
