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

/// What is known of one member.
struct Member {
    GroupMember identity;
    std::optional<TargetStanding> standing;
    /// When the command or statement was sent whose answer brought the standing.
    Instant sentAt {};
    /// As of the last answer to a group command.
    TargetName following;
    std::optional<Instant> heardAt;
    unsigned refusedInRow { 0 };
};

/// The members of a group with their last known standings, and the primary of the highest term seen.
class MemberTable {
public:
    explicit MemberTable(std::vector<GroupMember>);

    /// Replaces the members; what is known of those that stay is kept.
    void setMembers(std::vector<GroupMember>);
    /// Takes a standing. One that was asked for before the last taken changes the primary at most.
    /// @return whether a primary of a higher term was learnt.
    bool record(Instant now, const TargetName&, Instant sentAt, const TargetStanding&);
    /// Takes the replication source that came with a standing asked for at @p sentAt.
    void recordFollowing(const TargetName&, Instant sentAt, const TargetName& following);
    void recordRefusal(const TargetName&);
    /// Takes note of a sign of life without a standing.
    void recordAlive(Instant now, const TargetName&);

    [[nodiscard]] const std::vector<Member>& members() const { return m_members; }
    [[nodiscard]] const Member* find(const TargetName&) const;
    [[nodiscard]] std::size_t majority() const { return majorityOf(m_members.size()); }
    [[nodiscard]] const std::optional<KnownPrimary>& primary() const { return m_primary; }
    [[nodiscard]] Term primaryTerm() const { return m_primary ? m_primary->term : Term(); }
    /// @return the highest term to which any member was seen fenced, or that a primary was seen in.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }
    /// @return how many members were last seen fenced above @p term.
    [[nodiscard]] std::size_t fencedAbove(Term term) const;
    /// @return the latest moment after which a majority was seen not fenced above @p term; empty when there is none.
    [[nodiscard]] std::optional<Instant> unreplacedAt(Term term) const;

private:
    Member* findMutable(const TargetName&);

    std::vector<Member> m_members;
    std::optional<KnownPrimary> m_primary;
    Term m_highestTerm;
};

} // namespace Auburnpost::Group
