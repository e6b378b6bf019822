#include "group/MemberTable.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Group {

MemberTable::MemberTable(std::vector<GroupMember> members)
{
    setMembers(std::move(members));
}

void MemberTable::setMembers(std::vector<GroupMember> members)
{
    std::vector<Member> replacement;
    for (auto& identity : members) {
        const auto* const known = find(identity.target);
        Member member = known ? *known : Member {};
        member.identity = std::move(identity);
        replacement.push_back(std::move(member));
    }
    m_members = std::move(replacement);
}

bool MemberTable::record(Instant now, const TargetName& target, Instant sentAt, const TargetStanding& standing)
{
    auto* const member = findMutable(target);
    if (!member)
        return false;
    member->heardAt = now;
    member->refusedInRow = 0;
    const auto newer = !member->standing || sentAt > member->sentAt
        || (sentAt == member->sentAt && standing.fencedTerm >= member->standing->fencedTerm);
    if (newer) {
        member->standing = standing;
        member->sentAt = sentAt;
    }
    m_highestTerm = std::max(m_highestTerm, standing.fencedTerm);
    if (standing.role != TargetRole::Primary)
        return false;
    const KnownPrimary seen { standing.end.term, target };
    AUBURNPOST_INVARIANT(
        !m_primary || m_primary->term != seen.term || *m_primary == seen, "two primaries in one term of a group");
    if (m_primary && m_primary->term >= seen.term)
        return false;
    m_primary = seen;
    m_highestTerm = std::max(m_highestTerm, seen.term);
    return true;
}

void MemberTable::recordFollowing(const TargetName& target, Instant sentAt, const TargetName& following)
{
    auto* const member = findMutable(target);
    if (member && sentAt >= member->sentAt)
        member->following = following;
}

void MemberTable::recordRefusal(const TargetName& target)
{
    if (auto* const member = findMutable(target))
        ++member->refusedInRow;
}

void MemberTable::recordAlive(Instant now, const TargetName& target)
{
    if (auto* const member = findMutable(target)) {
        member->heardAt = now;
        member->refusedInRow = 0;
    }
}

const Member* MemberTable::find(const TargetName& target) const
{
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [&](const Member& member) { return member.identity.target == target; });
    return found == m_members.end() ? nullptr : &*found;
}

Member* MemberTable::findMutable(const TargetName& target)
{
    return const_cast<Member*>(find(target));
}

std::size_t MemberTable::fencedAbove(Term term) const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
        [&](const Member& member) { return member.standing && member.standing->fencedTerm > term; }));
}

std::optional<Instant> MemberTable::unreplacedAt(Term term) const
{
    std::vector<Instant> moments;
    for (const auto& member : m_members) {
        if (member.standing && member.standing->fencedTerm <= term)
            moments.push_back(member.sentAt);
    }
    if (moments.size() < majority())
        return std::nullopt;
    std::sort(moments.begin(), moments.end(), std::greater<>());
    return moments[majority() - 1];
}

} // namespace Auburnpost::Group
