#include "group/SwitchPlanner.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    /// Between two switches that one watcher starts.
    constexpr Duration retryInterval = std::chrono::seconds(10);

} // namespace

SwitchPlanner::SwitchPlanner(const GroupSettings& settings)
    : m_settings(&settings)
{
}

void SwitchPlanner::otherSwitchSeen(Instant now)
{
    m_heldUntil = now + m_settings->drainLimit + m_settings->catchUpLimit;
}

std::optional<TargetName> SwitchPlanner::due(Instant now, const MemberTable& members, std::size_t rank)
{
    auto target = wanted(now, members);
    if (!target) {
        m_dueAt.reset();
        return std::nullopt;
    }
    if (!m_dueAt)
        m_dueAt = now + m_settings->switchSpacing * static_cast<int>(rank);
    if (now < *m_dueAt || now < m_heldUntil)
        return std::nullopt;
    m_dueAt = now + retryInterval;
    return target;
}

std::optional<TargetName> SwitchPlanner::wanted(Instant now, const MemberTable& members)
{
    const auto& primary = members.primary();
    if (!primary)
        return std::nullopt;
    if (m_requested && (*m_requested == primary->target || !members.find(*m_requested)))
        m_requested.reset();
    if (members.fencedAbove(primary->term) == 0)
        m_fencedOutSince.reset();
    else if (!m_fencedOutSince)
        m_fencedOutSince = now;
    if (m_requested && !isLeaving(*m_requested))
        return m_requested;
    if (isLeaving(primary->target))
        return successor(members, *primary);
    if (m_fencedOutSince && now - *m_fencedOutSince >= m_settings->repairDelay)
        return primary->target;
    return std::nullopt;
}

std::optional<TargetName> SwitchPlanner::successor(const MemberTable& members, const KnownPrimary& primary) const
{
    const Member* best = nullptr;
    const auto* const old = members.find(primary.target);
    const auto isNear
        = [old](const Member& member) { return old && member.identity.dataCentre == old->identity.dataCentre; };
    const auto better = [&](const Member& left, const Member& right) {
        if (left.standing->end != right.standing->end)
            return left.standing->end > right.standing->end;
        return isNear(left) && !isNear(right);
    };
    for (const auto& member : members.members()) {
        if (member.identity.target == primary.target || isLeaving(member.identity.target) || !member.standing)
            continue;
        if (!best || better(member, *best))
            best = &member;
    }
    return best ? std::optional(best->identity.target) : std::nullopt;
}

} // namespace Auburnpost::Group
