#include "group/SwitchoverPlanner.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    /// Time after which a switchover that is still due is started again.
    constexpr Duration retryInterval = std::chrono::seconds(10);

} // namespace

SwitchoverPlanner::SwitchoverPlanner(const GroupSettings& settings)
    : m_settings(&settings)
{
}

void SwitchoverPlanner::holdForOther(Instant now)
{
    m_heldUntil = now + m_settings->drainLimit + m_settings->catchUpLimit;
}

std::optional<TargetName> SwitchoverPlanner::dueTarget(Instant now, const MemberTable& members, std::size_t rank)
{
    auto target = wantedTarget(now, members);
    if (!target) {
        m_dueAt.reset();
        return std::nullopt;
    }
    if (!m_dueAt)
        m_dueAt = now + m_settings->switchoverSpacing * static_cast<int>(rank);
    if (now < *m_dueAt || now < m_heldUntil)
        return std::nullopt;
    m_dueAt = now + retryInterval;
    return target;
}

std::optional<TargetName> SwitchoverPlanner::wantedTarget(Instant now, const MemberTable& members)
{
    const auto& primary = members.primary();
    if (!primary)
        return std::nullopt;
    if (m_requested && (*m_requested == primary->target || !members.find(*m_requested)))
        m_requested.reset();
    if (members.fencedAbove(primary->term) == 0)
        m_fencedAboveSince.reset();
    else if (!m_fencedAboveSince)
        m_fencedAboveSince = now;
    if (m_requested && !isLeaving(*m_requested))
        return m_requested;
    if (isLeaving(primary->target))
        return successor(members, *primary);
    if (m_fencedAboveSince && now - *m_fencedAboveSince >= m_settings->repairDelay)
        return primary->target;
    return std::nullopt;
}

std::optional<TargetName> SwitchoverPlanner::successor(const MemberTable& members, const KnownPrimary& primary) const
{
    const Member* best = nullptr;
    const auto* const leavingMember = members.find(primary.target);
    const auto isInSameDataCentre = [leavingMember](const Member& member) {
        return leavingMember && member.identity.dataCentre == leavingMember->identity.dataCentre;
    };
    const auto isBetter = [&](const Member& left, const Member& right) {
        if (left.lastStatus->end != right.lastStatus->end)
            return left.lastStatus->end > right.lastStatus->end;
        return isInSameDataCentre(left) && !isInSameDataCentre(right);
    };
    for (const auto& member : members.members()) {
        if (member.identity.target == primary.target || isLeaving(member.identity.target) || !member.lastStatus)
            continue;
        if (!best || isBetter(member, *best))
            best = &member;
    }
    return best ? std::optional(best->identity.target) : std::nullopt;
}

} // namespace Auburnpost::Group
