#pragma once

#include "base/Random.h"
#include "group/GroupAction.h"
#include "group/GroupSettings.h"
#include "group/GroupView.h"

#include <memory>
#include <set>

namespace Auburnpost::Group {

struct GroupState;

/// One database group as one of its watchers sees it: probes the members, votes on the primary, takes over,
/// proves durability and freshness. Pure: time and randomness are handed in, what is to be done is handed out.
class GroupWatch {
public:
    /// @param now present time.
    /// @param database the group's database.
    /// @param self name of this host.
    /// @param incarnation of this host; no two runs of a host share one.
    /// @param members the targets of the group.
    /// @param settings times.
    GroupWatch(Instant now, DatabaseName database, HostName self, Incarnation incarnation,
        std::vector<GroupMember> members, const GroupSettings& settings = {});
    ~GroupWatch();
    GroupWatch(GroupWatch&&) noexcept;
    GroupWatch& operator=(GroupWatch&&) noexcept;

    /// Does what time alone brings about. To be called about every 10 to 50 ms.
    GroupActions tick(Instant now, RandomEngine&);
    /// Takes the answer to a command that this watch asked for.
    GroupActions status(Instant now, const TargetName&, CorrelationId, const GroupStatus&);
    /// Takes note that a command was not answered. The error's code tells a refused connect from the rest.
    GroupActions commandFailed(Instant now, const TargetName&, CorrelationId, const Error&);
    /// Takes the standing that came with an ordinary answer to something sent at @p sentAt.
    GroupActions standing(Instant now, const TargetName&, Instant sentAt, const TargetStanding&);
    /// Takes the vote of another watcher.
    GroupActions vote(Instant now, const HostName& from, const WatchVote&);

    /// Sets the watchers of the group in rank order. Without this host among them the watch only observes.
    GroupActions setWatchers(Instant now, std::vector<HostName>);
    /// Sets the members. Majorities of the old and the new set must overlap: change one member at a time.
    GroupActions setMembers(Instant now, std::vector<GroupMember>);
    /// Sets the members that are to leave; a primary among them is switched away from.
    GroupActions setLeaving(Instant now, std::set<TargetName>);
    /// Asks for a planned switch. To be given to every watcher; rank decides who carries it out.
    GroupActions requestSwitch(Instant now, const TargetName& to);
    /// Takes note that another watcher asked this host to drain its writes.
    GroupActions drainRequested(Instant now, const HostName& from);
    /// Takes note that a watcher has no write in flight for the switch.
    GroupActions drained(Instant now, const HostName& from, SwitchId);

    /// Waits until a majority holds @p point, which the primary of the point's term reported after a write.
    /// Ends with Durable or NotDurable, at the latest with the first tick after @p deadline.
    GroupActions awaitDurable(Instant now, WaitId, const LogPoint& point, Instant deadline);
    /// Asks for the proof that the primary's term was not replaced at a moment after this call.
    /// Ends with Confirmed or NotConfirmed, at the latest with the first tick after @p deadline.
    GroupActions confirm(Instant now, ConfirmId, Instant deadline);

    /// @return the primary of the highest term seen.
    [[nodiscard]] std::optional<PrimaryView> primary(Instant now) const;
    /// @return an upper bound of the age of a log that ends at @p end: each write acknowledged before now minus this
    /// lies within it. Empty when nothing is known.
    [[nodiscard]] std::optional<Duration> ageOf(Instant now, const LogPoint& end) const;
    /// @return the last standing seen of a member; empty when there is none.
    [[nodiscard]] std::optional<TargetStanding> standingOf(const TargetName&) const;
    /// @return the highest point known to be held by a majority in an open term.
    [[nodiscard]] LogPoint durablePoint() const;
    [[nodiscard]] std::vector<MemberView> members(Instant now) const;
    [[nodiscard]] GroupDump dump(Instant now) const;
    [[nodiscard]] const DatabaseName& database() const;

private:
    std::unique_ptr<GroupState> m_state;
};

} // namespace Auburnpost::Group
