#pragma once

#include "proxy/GroupMembership.h"
#include "proxy/LogClosure.h"
#include "proxy/MemberHistory.h"
#include "proxy/PrimaryConfirmations.h"
#include "proxy/ReplacementGuard.h"
#include "proxy/TableOrigin.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// Why the primary of a group should be replaced.
enum class FailoverReason : std::uint8_t {
    None,
    /// No member reports that it is the primary.
    Missing,
    /// The primary refuses connections or does not respond.
    Down,
    /// No replica receives the primary's commits.
    Blocked,
    /// The primary announced its shutdown.
    Leaving,
    /// The primary answers, but may have been replaced, and no replacement was seen in time.
    Doubted,
};

/// @return the text for logs, such as "down".
std::string_view toString(FailoverReason);

/// This host's view of one database group: the members with their last reported status, the primary, and the
/// confirmations that reads rely on.
class GroupWatcher {
public:
    /// A replica that is not fenced, lags behind the primary and has made no progress for this long counts as cut off
    /// from the primary.
    static constexpr Duration blockedTimeout = std::chrono::milliseconds(1500);
    /// Maximum time without a known primary before a failover is due. At a cold start the targets register within about
    /// two seconds of each other.
    static constexpr Duration missingTimeout = std::chrono::milliseconds(2500);

    using Member = GroupMember;
    using Members = GroupMembers;

    /// Replaces the list of members. The state of a member is kept if the new list has it in the same incarnation. A
    /// member without a record is kept while it counts (GroupMembership).
    void setMembers(Instant now, const std::vector<TargetRecord>&);
    /// Adds the members on record in the store that this host does not list.
    /// @return the members that were added.
    std::vector<TargetName> addRecorded(Instant now, const GroupName& group, const MemberRecord& record)
    {
        return m_membership.addRecorded(now, group, record);
    }
    /// Forgets the members of a group that this host no longer serves.
    void stopWatching();
    /// Releases the members that no longer count.
    /// @return the members released since the last call.
    std::vector<MemberRelease> releaseMembers(Instant now);
    void setRules(const GroupRules& rules)
    {
        m_rules = rules;
        m_membership.setRules(rules);
    }
    [[nodiscard]] const GroupRules& rules() const { return m_rules; }
    /// Stores where the list of targets came from.
    void setListOrigin(const TableOrigin& origin) { m_listOrigin = origin; }

    /// Stores a member's status and derives a confirmation from it where possible.
    /// @param queriedAt when the query was sent; a status older than the stored one is ignored.
    /// @return whether the status makes another target the primary.
    bool recordStatus(Instant now, const TargetName&, Instant queriedAt, const TargetStatus&);
    /// Records that the primary acknowledged a commit with writes. In a small enough group this confirms the primary
    /// as the members' status does, unless a replica that this host does not know may have acknowledged it.
    /// @param sentAt when the commit was sent; @param end the end of the primary's log after the commit.
    void recordCommit(Instant now, const TargetName&, Instant sentAt, const LogPoint& end);
    /// Stores the end of the log that the target's reads see, as reported in a reply.
    void recordApplied(Instant now, const TargetName&, const LogPoint& applied);
    /// Records that a read which requires a position is being sent to the target. Its reply will show whether the
    /// target has reached the position by now.
    void recordReadAttempt(Instant now, const TargetName&, const LogPoint& wanted);
    /// Records that a target refused a write because it is not the primary.
    void recordWriteRefusal(const TargetName&);
    /// @return the failure detector of a member; null if the target is not a member.
    [[nodiscard]] TargetHealth* health(const TargetName&);
    /// @return the load estimate of a member; null if the target is not a member.
    [[nodiscard]] TargetLoad* load(const TargetName&);

    /// @return the members, those without a record that still count included.
    [[nodiscard]] const Members& members() const { return m_membership.members(); }
    [[nodiscard]] const GroupMembership& membership() const { return m_membership; }
    /// @return the member; null if the target is not a member.
    [[nodiscard]] const Member* find(const TargetName& name) const { return m_membership.find(name); }
    /// @return the target that reports to be the primary in the highest term seen; empty when none is known. Statements
    /// are sent to it only as far as guard() allows.
    [[nodiscard]] const std::optional<TargetName>& primary() const { return m_primary; }
    [[nodiscard]] Term primaryTerm() const { return m_primaryTerm; }
    /// @return the highest term seen, fences included.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }
    [[nodiscard]] const PrimaryConfirmations& confirmations() const { return m_confirmations; }
    /// @return the moment as of which enough members besides the primary have shown that it was not replaced; empty if
    /// they have not.
    [[nodiscard]] std::optional<Instant> unreplacedAsOf() const;
    /// @return whether enough members besides the primary answer to show that it was not replaced.
    [[nodiscard]] bool canMembersConfirm(Instant now) const;
    [[nodiscard]] FailoverReason failoverReason(Instant now) const;
    /// @return whether a member that stays receives the primary's commits, so that the primary can hand over to it.
    [[nodiscard]] bool hasCaughtUpReplica(Instant now) const;
    /// @return how many members the group is counted as, those included that are no longer listed but may have a log.
    [[nodiscard]] std::size_t groupSize() const { return m_membership.size(); }
    [[nodiscard]] const TableOrigin& listOrigin() const { return m_listOrigin; }
    [[nodiscard]] const LogClosure& logClosure() const { return m_logClosure; }
    [[nodiscard]] const MemberHistory& history() const { return m_history; }
    [[nodiscard]] std::size_t fencesNeeded() const { return m_membership.fencesNeeded(); }
    [[nodiscard]] std::size_t confirmationsNeeded() const { return m_membership.confirmationsNeeded(); }
    /// @return whether the group has had a fenced member for at least @p limit without interruption.
    [[nodiscard]] bool hasFencedMemberFor(Instant now, Duration limit) const;
    /// Notes a primary that no longer responds, and drops doubts whose time has passed.
    void checkPrimary(Instant now);
    /// @return whether the reported primary may be used.
    [[nodiscard]] const ReplacementGuard& guard() const { return m_guard; }
    [[nodiscard]] ReplacementGuard& guard() { return m_guard; }
    /// @return whether a member answers this host that a replacement of the primary has to fence, so that this host
    /// would see the fence. A member that was listed a short time ago may be unknown to the host that replaces the
    /// primary.
    [[nodiscard]] bool seesFences(Instant now) const;
    /// @return whether every promotion finds the commit on a member that it counts. The primary's acknowledgement shows
    /// this in a settled group only: otherwise a replica that no host lists may have acknowledged it. Where this host
    /// reaches too few members to tell, seesFences() and ReplacementGuard decide alone.
    /// @param end the end of the primary's log after the commit.
    [[nodiscard]] bool isDurable(Instant now, const TargetName& primary, const LogPoint& end) const;
    /// Restarts all timeouts after a pause of this process, as members may have responded meanwhile.
    void discountPause(Instant now);

private:
    /// @return whether a listed member has not answered yet, or a member is fenced, in a later term, or another
    /// primary.
    [[nodiscard]] bool hasSignOfReplacement() const;
    /// @return how many members besides the primary are established and answer this host.
    [[nodiscard]] std::size_t visibleMembers(Instant now) const;
    /// Forgets the primary, which has to be seen again and not be replaced before it is used.
    void losePrimary(Instant now);
    /// @return whether the member's last status is that of a replica which has joined no later primary and is not
    /// fenced.
    [[nodiscard]] bool showsNoReplacement(const TargetName&, const Member&) const;
    /// Adds a confirmation if the primary and enough other members report no fence and no higher term.
    void confirmPrimary();
    void updateBehindSince(Instant now, Member&, Instant queriedAt, const TargetStatus&);
    [[nodiscard]] bool isBlocked(Instant now, const Member& primary) const;
    void updateFencedSince(Instant now);
    /// Records the members that the next list does not have in the same incarnation.
    void recordDepartures(Instant now, const std::vector<TargetRecord>& records);
    /// @return whether a responsive member is listed as primary and has not reported otherwise since it was listed.
    [[nodiscard]] bool hasResponsiveReportedPrimary(Instant now) const;

    GroupRules m_rules;
    GroupMembership m_membership;
    std::vector<MemberRelease> m_released;
    std::optional<TargetName> m_primary;
    Term m_primaryTerm;
    Term m_highestTerm;
    ReplacementGuard m_guard;
    PrimaryConfirmations m_confirmations;
    std::optional<Instant> m_primaryMissingSince;
    std::optional<Instant> m_fencedSince;
    /// When the newest commit that the primary acknowledged to this host was sent.
    std::optional<Instant> m_commitSentAt;
    TableOrigin m_listOrigin;
    LogClosure m_logClosure;
    MemberHistory m_history;
};

} // namespace Auburnpost::Proxy
