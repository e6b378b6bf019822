#include "proxy/GroupService.h"

namespace Auburnpost::Proxy {

using Session::FailureCode;

namespace {

    /// @return whether any member may serve the statement. Statements that only the primary may serve wait for
    /// replicas and locks, so their answers don't measure the load.
    bool measuresLoad(const PendingStatement& pending)
    {
        return pending.access == Session::Access::Read && !pending.needsPrimary();
    }

    bool isFailureOfTarget(FailureCode code)
    {
        return code == FailureCode::Timeout || code == FailureCode::Aborted;
    }

} // namespace

void GroupService::recordReadAnswer(Instant now, const TargetConnection& connection, const PendingStatement& pending,
    const ExpectedReply& expected, const TargetReply& reply)
{
    if (!measuresLoad(pending))
        return;
    const auto* const member = m_watcher.find(connection.target);
    if (!member)
        return;
    auto& load = *m_watcher.load(connection.target);
    if (const auto* const failure = reply.failure()) {
        if (failure->code == FailureCode::Busy)
            recordCapacityRefusal(now, connection.target);
        else if (isFailureOfTarget(failure->code))
            load.recordFailure(now);
        return;
    }
    const auto responseTime = now - expected.sentAt;
    // The answered request is no longer among the unanswered ones.
    const auto own = ReadTargetSelector::unanswered(m_pools[connection.target]) + 1;
    load.recordAnswer(now, responseTime, own, member->record.slots);
    m_delegate.measure("target_read_ms", static_cast<double>(toMilliseconds(responseTime)));
}

void GroupService::recordReadLoss(
    Instant now, const TargetName& target, const PendingStatement& pending, Instant sentAt)
{
    auto* const load = m_watcher.load(target);
    const bool isUnanswered = now - sentAt >= TargetLoad::shortestLoss || now < pending.deadline;
    if (!load || !measuresLoad(pending) || !isUnanswered)
        return;
    load->recordFailure(now);
    m_delegate.measure("target_read_lost_ms", static_cast<double>(toMilliseconds(now - sentAt)));
}

void GroupService::recordReportedLoad(
    Instant now, const TargetName& target, const ExpectedReply& expected, const TargetStatus& status)
{
    const auto* const member = m_watcher.find(target);
    if (!member)
        return;
    auto& load = *m_watcher.load(target);
    // A member that starts while the group is served has empty caches and no connections of any host.
    if (!member->status && !member->isInitial)
        load.recordReturn(now);
    const auto own = ReadTargetSelector::unanswered(m_pools[target]) + 1;
    load.recordReport(now, status.busy, own, now - expected.sentAt);
}

void GroupService::recordCapacityRefusal(Instant now, const TargetName& target)
{
    auto* const load = m_watcher.load(target);
    if (!load)
        return;
    load->recordRefusal(now);
    m_delegate.measure("target_pause_ms", static_cast<double>(toMilliseconds(load->pausedUntil() - now)));
}

void GroupService::recordReturnIfDown(Instant now, const TargetName& target)
{
    const auto* const member = m_watcher.find(target);
    if (member && member->health.isDown(now))
        m_watcher.load(target)->recordReturn(now);
}

} // namespace Auburnpost::Proxy
