#pragma once

#include "proxy/Catalog.h"
#include "proxy/MemberHistory.h"
#include "proxy/PrimaryConfirmations.h"
#include "proxy/TableOrigin.h"
#include "proxy/TargetHealth.h"
#include "proxy/TargetRecord.h"
#include "proxy/TargetStatus.h"

#include <map>
#include <optional>
#include <set>
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
    /// A member that is no longer listed still counts towards the size of the group for this long, unless it first
    /// appeared while the group was watched and never answered: such a record may be another writer's.
    static constexpr Duration membershipRetention = std::chrono::seconds(8);
    /// Maximum time without a known primary before a failover is due. At a cold start the targets register within about
    /// two seconds of each other.
    static constexpr Duration missingTimeout = std::chrono::milliseconds(2500);

    struct Member {
        TargetRecord record;
        std::optional<TargetStatus> status;
        /// When the query that returned the status was sent.
        Instant queriedAt {};
        TargetHealth health;
        /// End of the log that the member's reads see, as last reported.
        std::optional<LogPoint> applied;
        /// When `applied` was last reported, or when a read that needs a later log point was last sent to the member.
        Instant appliedCheckedAt {};
        /// Since when the member has made no progress although it lacks a commit that the primary had when the member
        /// was queried.
        std::optional<Instant> behindSince;
        /// Since when the member's record reports it as the primary.
        std::optional<Instant> reportsPrimarySince;
        /// When the member's record first announced its shutdown.
        std::optional<Instant> leavingSince;
    };
    using Members = std::map<TargetName, Member>;

    /// Replaces the list of members. The state of a member is kept if the new list has it in the same incarnation.
    void setMembers(Instant now, const std::vector<TargetRecord>&);
    void setRules(const GroupRules& rules) { m_rules = rules; }
    /// Stores where the list of targets came from.
    void setListOrigin(const TableOrigin& origin) { m_listOrigin = origin; }

    /// Stores a member's status and derives a confirmation from it where possible.
    /// @param queriedAt when the query was sent; a status older than the stored one is ignored.
    /// @return whether the status makes another target the primary.
    bool recordStatus(Instant now, const TargetName&, Instant queriedAt, const TargetStatus&);
    /// Records that the primary acknowledged a commit with writes. In a small enough group this confirms the primary
    /// as the members' status does.
    /// @param sentAt when the commit was sent; @param end the end of the primary's log after the commit.
    void recordCommit(const TargetName&, Instant sentAt, const LogPoint& end);
    /// Stores the end of the log that the target's reads see, as reported in a reply.
    void recordApplied(Instant now, const TargetName&, const LogPoint& applied);
    /// Records that a read which requires a position is being sent to the target. Its reply will show whether the
    /// target has reached the position by now.
    void recordReadAttempt(Instant now, const TargetName&, const LogPoint& wanted);
    /// Records that a target refused a write because it is not the primary.
    void recordWriteRefusal(const TargetName&);
    /// @return the failure detector of a member; null if the target is not a member.
    [[nodiscard]] TargetHealth* health(const TargetName&);

    [[nodiscard]] const Members& members() const { return m_members; }
    /// @return the member; null if the target is not a member.
    [[nodiscard]] const Member* find(const TargetName&) const;
    /// @return the primary of the highest term seen; empty when none is known.
    [[nodiscard]] const std::optional<TargetName>& primary() const { return m_primary; }
    [[nodiscard]] Term primaryTerm() const { return m_primaryTerm; }
    /// @return the highest term seen, fences included.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }
    [[nodiscard]] const PrimaryConfirmations& confirmations() const { return m_confirmations; }
    [[nodiscard]] FailoverReason failoverReason(Instant now) const;
    /// @return how many members the group is counted as, those included that are no longer listed but may have a log.
    [[nodiscard]] std::size_t groupSize() const;
    /// @return the addresses of the counted members that are no longer listed.
    [[nodiscard]] std::vector<SocketAddress> unlistedAddresses() const;
    [[nodiscard]] const TableOrigin& listOrigin() const { return m_listOrigin; }
    [[nodiscard]] const MemberHistory& history() const { return m_history; }
    /// @return how many members have to be fenced before a promotion, so that at least one of them has every
    /// acknowledged commit and no further commit can be acknowledged.
    [[nodiscard]] std::size_t fencesNeeded() const;
    /// @return how many members besides the primary have to report that they are not fenced to confirm the primary.
    [[nodiscard]] std::size_t confirmationsNeeded() const;
    /// @return whether the group has had a fenced member for at least @p limit without interruption.
    [[nodiscard]] bool hasFencedMemberFor(Instant now, Duration limit) const;
    /// Restarts all timeouts after a pause of this process, as members may have responded meanwhile.
    void discountPause(Instant now);

private:
    /// Adds a confirmation if the primary and enough other members report no fence and no higher term.
    void confirmPrimary();
    /// Adds a log position without a primary if enough members are fenced: no commit can be acknowledged meanwhile, and
    /// at least one of these members has every acknowledged commit.
    void confirmFencedLogEnd();
    void updateBehindSince(Instant now, Member&, Instant queriedAt, const TargetStatus&);
    [[nodiscard]] bool isBlocked(Instant now, const Member& primary) const;
    void updateFencedSince(Instant now);
    struct ListedAddress {
        Instant listedAt;
        /// Whether a member may have a log there: it answered, or it was listed when the group was first watched.
        bool mayHaveLog { false };
    };

    /// Records the members that the next list does not have in the same incarnation.
    void recordDepartures(Instant now, const Members& next);
    /// Records the members' addresses as listed, before the list of members is replaced.
    void recordAddresses(Instant now);
    void updateAddresses(Instant now);
    /// @return whether a responsive member is listed as primary and has not reported otherwise since it was listed.
    [[nodiscard]] bool hasResponsiveReportedPrimary(Instant now) const;

    GroupRules m_rules;
    Members m_members;
    std::optional<TargetName> m_primary;
    Term m_primaryTerm;
    Term m_highestTerm;
    PrimaryConfirmations m_confirmations;
    std::optional<Instant> m_primaryMissingSince;
    std::optional<Instant> m_fencedSince;
    /// Addresses of the group's members. Members are counted by address
    /// because a target that crashed restarts under a new name at the same address, with its log. A member that left
    /// after an announced shutdown is removed at once, as its log was handed over before.
    std::map<SocketAddress, ListedAddress> m_addresses;
    TableOrigin m_listOrigin;
    MemberHistory m_history;
};

} // namespace Auburnpost::Proxy
