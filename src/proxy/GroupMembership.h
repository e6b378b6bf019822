#pragma once

#include "proxy/Catalog.h"
#include "proxy/GroupMember.h"
#include "proxy/MemberRecord.h"

#include <utility>
#include <vector>

namespace Auburnpost::Proxy {

/// Why a member without a record no longer counts.
enum class MemberReleaseReason : std::uint8_t {
    /// The members that stay have every commit that it can have helped to acknowledge.
    LogsCaughtUp,
    /// It never answered this host.
    NeverAnswered,
    /// A target that started later at its address answers there, with its log.
    Superseded,
    /// The limit for the wait has passed.
    GivenUp,
};

/// @return the text for logs, such as "logs_caught_up".
std::string_view toString(MemberReleaseReason);

/// A member that no longer counts.
struct MemberRelease {
    TargetName name;
    MemberReleaseReason reason {};
};

/// The members of one database group that may hold an acknowledged commit. Promotions, fences and confirmations count
/// the same members. A member whose record disappears still counts until the log of every commit that it can have
/// helped to acknowledge is shown to be on members that stay.
class GroupMembership {
public:
    /// An unlisted member that gives no answer counts as ended after this long.
    static constexpr Duration silenceTimeout = std::chrono::seconds(8);
    /// The same for one that had announced its shutdown.
    static constexpr Duration leavingSilenceTimeout = std::chrono::seconds(1);
    /// Time for which the evidence on an ended member is looked for more often than members are queried otherwise.
    static constexpr Duration urgentTime = std::chrono::seconds(3);
    /// Maximum time for which an ended or silent member without a record counts. A target that crashed is back before.
    static constexpr Duration retentionLimit = std::chrono::seconds(20);
    /// Time for which a released member is not taken from the record in the store again. The record is written within
    /// about a dozen seconds of the release, or by the next lease holder.
    static constexpr Duration releaseMemory = std::chrono::seconds(60);

    void setRules(const GroupRules& rules) { m_rules = rules; }

    /// Replaces the list of members. The state of a member is kept if the new list has it in the same incarnation.
    /// @return the members that no longer count.
    std::vector<MemberRelease> setListed(Instant now, const std::vector<TargetRecord>&);
    /// Adds the members on record in the store that this host does not list, as members without a record. Those that
    /// this host released lately are left out.
    /// @return the members that were added.
    std::vector<TargetName> addRecorded(Instant now, const GroupName&, const MemberRecord&);
    /// Forgets all members, of a group that is no longer watched.
    void clear()
    {
        m_members.clear();
        m_releasedAt.clear();
    }

    /// Updates what is known of members without a record, after a status or a failed connection, and releases members
    /// that restarted under a new name.
    /// @param primary the current primary; null when none is known.
    /// @return the members that no longer count.
    std::vector<MemberRelease> releaseMembers(Instant now, const GroupMember* primary);

    [[nodiscard]] GroupMembers& members() { return m_members; }
    [[nodiscard]] const GroupMembers& members() const { return m_members; }
    /// @return the member; null if the target is not a member.
    [[nodiscard]] const GroupMember* find(const TargetName&) const;
    [[nodiscard]] GroupMember* find(const TargetName&);

    /// @return how many members count. Members are counted by address, because a target that crashed restarts under a
    /// new name at the same address, with its log.
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t listedCount() const;
    /// @return how many members count that are not known to have ended.
    [[nodiscard]] std::size_t runningCount() const;
    /// @return how many members have to be fenced before a promotion, so that at least one of them has every
    /// acknowledged commit and no further commit can be acknowledged.
    [[nodiscard]] std::size_t fencesNeeded() const;
    /// @return how many members besides the primary have to report that they are not fenced to confirm the primary.
    [[nodiscard]] std::size_t confirmationsNeeded() const;
    /// @return whether every promotion in progress or to come counts the member: it was there when the group was first
    /// watched, or its record is older than a lease that was read before it.
    [[nodiscard]] static bool isEstablished(Instant now, const GroupMember&);
    /// @return whether a listed and established member runs at each address of the group and none is about to leave, so
    /// that no target which this host does not know has a part in the group's commits.
    [[nodiscard]] bool isSettled(Instant now) const;
    /// @return how many established members besides the primary have reported a log of the same term up to the point.
    [[nodiscard]] std::size_t countHolders(Instant now, const TargetName& primary, const LogPoint&) const;
    /// @return when members were released that are not taken from the record in the store again, by name and start.
    [[nodiscard]] const std::map<std::pair<TargetName, TargetIncarnation>, Instant>& releases() const
    {
        return m_releasedAt;
    }
    /// @return whether a member has ended a short time ago whose log is not yet known to be on members that stay.
    [[nodiscard]] bool awaitsEvidence(Instant now) const;

private:
    /// @return whether a target that started later answers at the address of the record. A record alone may be another
    /// writer's.
    [[nodiscard]] bool isSuperseded(const TargetRecord&) const;
    /// @return whether enough listed members besides the primary have the log up to the point.
    [[nodiscard]] bool isHeldByListed(const LogPoint&, const GroupMember& primary) const;
    [[nodiscard]] std::optional<MemberReleaseReason> releaseReason(
        Instant now, GroupMember&, const GroupMember* primary) const;

    /// Notes the members that are released on evidence, or whose wait has ended.
    void rememberReleases(Instant now, const std::vector<MemberRelease>&);

    GroupRules m_rules;
    GroupMembers m_members;
    /// When members were released, by name and start.
    std::map<std::pair<TargetName, TargetIncarnation>, Instant> m_releasedAt;
};

} // namespace Auburnpost::Proxy
