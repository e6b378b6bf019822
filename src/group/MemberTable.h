#pragma once

#include "group/GroupView.h"
#include "message/GroupCommand.h"

namespace Auburnpost::Group {

/// A primary and the term it was promoted in.
struct KnownPrimary {
    Term term;
    TargetName target;

    bool operator==(const KnownPrimary&) const = default;
};

/// The known state of one member.
struct Member {
    GroupMember identity;
    std::optional<TargetStatus> lastStatus;
    /// When the command or statement was sent whose answer brought the status.
    Instant sentAt {};
    /// Replication source, as of the last answer to a group command.
    TargetName following;
    /// When the member last answered.
    std::optional<Instant> lastResponseAt;
    unsigned refusalsInRow { 0 };
};

/// The members of a group with their last known status, and the primary of the highest term found.
class MemberTable {
public:
    explicit MemberTable(std::vector<GroupMember>);

    /// Replaces the members; the known state of members that stay is kept.
    void setMembers(std::vector<GroupMember>);
    /// Stores a target's status. A status requested before the stored one can only change the primary.
    /// @return whether it revealed a primary of a higher term.
    bool recordStatus(Instant now, const TargetName&, Instant sentAt, const TargetStatus&);
    /// Stores the replication source that came with a status requested at @p sentAt.
    void recordFollowing(const TargetName&, Instant sentAt, const TargetName& following);
    /// Counts a refused connect.
    void recordRefusal(const TargetName&);
    /// Records an answer that shows the member to be running but has no status.
    void recordResponse(Instant now, const TargetName&);

    [[nodiscard]] const std::vector<Member>& members() const { return m_members; }
    [[nodiscard]] const Member* find(const TargetName&) const;
    [[nodiscard]] std::size_t majority() const { return majorityOf(m_members.size()); }
    [[nodiscard]] const std::optional<KnownPrimary>& primary() const { return m_primary; }
    [[nodiscard]] Term primaryTerm() const { return m_primary ? m_primary->term : Term(); }
    /// @return the highest term that any member was fenced to or that a primary was found in.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }
    /// @return the number of members whose last status is fenced above @p term.
    [[nodiscard]] std::size_t fencedAbove(Term term) const;
    /// @return the latest moment after which a majority was found not fenced above @p term; empty when there is none.
    [[nodiscard]] std::optional<Instant> confirmedAt(Term term) const;

private:
    Member* findMutable(const TargetName&);

    std::vector<Member> m_members;
    std::optional<KnownPrimary> m_primary;
    Term m_highestTerm;
};

} // namespace Auburnpost::Group
