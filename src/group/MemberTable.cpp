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

bool MemberTable::recordStatus(Instant now, const TargetName& target, Instant sentAt, const TargetStatus& status)
{
    auto* const member = findMutable(target);
    if (!member)
        return false;
    member->lastResponseAt = now;
    member->refusalsInRow = 0;
    const auto isNewer = !member->lastStatus || sentAt > member->sentAt
        || (sentAt == member->sentAt && status.fencedTerm >= member->lastStatus->fencedTerm);
    if (isNewer) {
        member->lastStatus = status;
        member->sentAt = sentAt;
    }
    m_highestTerm = std::max(m_highestTerm, status.fencedTerm);
    if (status.role != TargetRole::Primary)
        return false;
    const KnownPrimary seen { status.end.term, target };
    AUBURNPOST_INVARIANT(
        !m_primary || m_primary->term != seen.term || *m_primary == seen, "a group has two primaries in one term");
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
        ++member->refusalsInRow;
}

void MemberTable::recordResponse(Instant now, const TargetName& target)
{
    if (auto* const member = findMutable(target)) {
        member->lastResponseAt = now;
        member->refusalsInRow = 0;
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
        [&](const Member& member) { return member.lastStatus && member.lastStatus->fencedTerm > term; }));
}

std::optional<Instant> MemberTable::confirmedAt(Term term) const
{
    std::vector<Instant> moments;
    for (const auto& member : m_members) {
        if (member.lastStatus && member.lastStatus->fencedTerm <= term)
            moments.push_back(member.sentAt);
    }
    if (moments.size() < majority())
        return std::nullopt;
    std::sort(moments.begin(), moments.end(), std::greater<>());
    return moments[majority() - 1];
}

} // namespace Auburnpost::Group
