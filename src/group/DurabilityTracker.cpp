#include "group/DurabilityTracker.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    /// Interval between two wait commands to a target that failed or did not answer.
    constexpr Duration retryInterval = std::chrono::milliseconds(50);

} // namespace

DurabilityTracker::DurabilityTracker(const GroupSettings& settings)
    : m_settings(&settings)
{
}

void DurabilityTracker::startTerm(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    const auto term = members.primaryTerm();
    AUBURNPOST_INVARIANT(term > m_term, "a group's term decreased");
    m_term = term;
    m_isOpen = false;
    m_heldPositions.clear();
    m_retryAt.clear();
    while (!m_waits.empty() && m_waits.begin()->first.term < m_term) {
        outbox.push(NotDurable { m_waits.begin()->second.id, WaitFailureReason::TermChanged });
        m_waits.erase(m_waits.begin());
    }
    sendWaits(now, outbox, members);
}

void DurabilityTracker::recordEnd(
    Instant now, CommandOutbox& outbox, const MemberTable& members, const TargetName& target, const LogPoint& end)
{
    if (end.term != m_term || m_term == Term() || !members.find(target))
        return;
    auto& held = m_heldPositions[target];
    held = std::max(held, end.position);
    updateDurable(outbox, members);
    sendWaits(now, outbox, members);
}

void DurabilityTracker::addWait(
    Instant now, CommandOutbox& outbox, const MemberTable& members, WaitId id, const LogPoint& point, Instant deadline)
{
    if (point.term < m_term) {
        outbox.push(NotDurable { id, WaitFailureReason::TermChanged });
        return;
    }
    m_waits.emplace(point, Wait { id, deadline });
    if (members.primary() && point.term == m_term)
        recordEnd(now, outbox, members, members.primary()->target, point);
}

void DurabilityTracker::tick(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    for (auto wait = m_waits.begin(); wait != m_waits.end();) {
        if (now < wait->second.deadline) {
            ++wait;
            continue;
        }
        outbox.push(NotDurable { wait->second.id, WaitFailureReason::DeadlineExceeded });
        wait = m_waits.erase(wait);
    }
    sendWaits(now, outbox, members);
}

void DurabilityTracker::delayRetry(Instant now, const TargetName& target)
{
    m_retryAt[target] = now + retryInterval;
}

void DurabilityTracker::updateDurable(CommandOutbox& outbox, const MemberTable& members)
{
    const auto held = majorityPosition(members);
    if (!held)
        return;
    if (!m_isOpen) {
        m_isOpen = true;
        outbox.push(TermOpened { m_term, members.primary()->target });
    }
    m_durable = std::max(m_durable, LogPoint { m_term, *held });
    while (!m_waits.empty() && m_waits.begin()->first <= LogPoint { m_term, *held }) {
        outbox.push(Durable { m_waits.begin()->second.id });
        m_waits.erase(m_waits.begin());
    }
}

std::optional<Position> DurabilityTracker::majorityPosition(const MemberTable& members) const
{
    std::vector<Position> positions;
    for (const auto& member : members.members()) {
        const auto found = m_heldPositions.find(member.identity.target);
        if (found != m_heldPositions.end())
            positions.push_back(found->second);
    }
    if (positions.size() < members.majority())
        return std::nullopt;
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return positions[members.majority() - 1];
}

std::optional<LogPoint> DurabilityTracker::pointToAwait(const TargetName& target) const
{
    const auto held = m_heldPositions.find(target);
    if (held == m_heldPositions.end())
        return m_isOpen && m_waits.empty() ? std::nullopt : std::optional(LogPoint { m_term, Position() });
    // The lowest point is requested: its answer comes first and reports everything that has arrived until then.
    const auto wait = m_waits.upper_bound(LogPoint { m_term, held->second });
    if (wait == m_waits.end() || wait->first.term != m_term)
        return std::nullopt;
    return wait->first;
}

void DurabilityTracker::sendWaits(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    if (!members.primary())
        return;
    for (const auto& member : members.members()) {
        const auto& target = member.identity.target;
        if (target == members.primary()->target || outbox.inFlight(target, CommandPurpose::Wait) > 0)
            continue;
        const auto wanted = pointToAwait(target);
        const auto retry = m_retryAt.find(target);
        if (!wanted || (retry != m_retryAt.end() && now < retry->second))
            continue;
        GroupCommand command;
        command.operation = GroupOperation::Wait;
        command.point = *wanted;
        command.timeout = m_settings->waitTimeout;
        outbox.send(now, target, command, CommandPurpose::Wait);
    }
}

} // namespace Auburnpost::Group
