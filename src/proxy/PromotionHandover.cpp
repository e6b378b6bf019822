#include "proxy/Promotion.h"

namespace Auburnpost::Proxy {

bool Promotion::canHandOver(const Context& context) const
{
    const auto& primary = context.watcher.primary();
    // A pending promotion may take effect at a target that a handover would not stop.
    return primary && !isPromotionPending(context) && context.watcher.primaryTerm() == m_replacedTerm
        && !context.watcher.find(*primary)->health.isDown(context.now)
        && context.watcher.hasCaughtUpReplica(context.now);
}

void Promotion::startHandover(Context& context)
{
    m_demoted = context.watcher.primary();
    m_demotedAt = context.now;
    m_hasDemotedPrimary = true;
    pollHandover(context);
}

void Promotion::pollHandover(Context& context)
{
    m_commandedAt = context.now;
    const auto end = demotedLogEnd(context.watcher);
    if (!end)
        m_delegate.sendCommand(*m_demoted, DemotePrimary { m_term }, leaseUsableUntil());
    for (const auto& [name, member] : context.watcher.members()) {
        const bool hasLog = end && member.status && member.status->received >= *end;
        if (name != m_demoted && mayFence(context.watcher, name, member) && !hasLog)
            m_delegate.sendCommand(name, QueryStatus {}, leaseUsableUntil());
    }
}

std::optional<LogPoint> Promotion::demotedLogEnd(const GroupWatcher& watcher) const
{
    const auto* const member = m_demoted ? watcher.find(*m_demoted) : nullptr;
    if (!member || !member->status || member->status->isPrimary || member->queriedAt < m_demotedAt)
        return {};
    return member->status->received;
}

std::optional<TargetName> Promotion::chooseHandoverTarget(const Context& context) const
{
    const auto end = demotedLogEnd(context.watcher);
    if (!end)
        return {};
    const GroupWatcher::Member* best = nullptr;
    std::size_t confirmations = 0;
    for (const auto& [name, member] : context.watcher.members()) {
        const bool isCurrent = name != m_demoted && member.status && member.queriedAt >= m_demotedAt;
        // A member of a later term follows a primary that this host does not know.
        if (!isCurrent || member.status->isPrimary || member.status->term > m_replacedTerm)
            continue;
        ++confirmations;
        if (!member.isListed() || member.health.isDown(context.now) || member.status->received < *end)
            continue;
        if (!best || suitability(member) > suitability(*best))
            best = &member;
    }
    // The demoted primary may have been replaced before by one that this host does not reach.
    if (!best || confirmations < context.watcher.confirmationsNeeded())
        return {};
    return best->record.name;
}

bool Promotion::isHandoverReady(const Context& context) const
{
    return !isLeaseEnding(context) && !isSuperseded(context) && chooseHandoverTarget(context);
}

bool Promotion::hasHandoverStalled(const Context& context) const
{
    return context.now - m_demotedAt >= handoverTimeout;
}

bool Promotion::isHandoverPollDue(const Context& context) const
{
    const auto interval = demotedLogEnd(context.watcher) ? handoverPollInterval : commandRetryInterval;
    return !isLeaseEnding(context) && context.now - m_commandedAt >= interval;
}

bool Promotion::mayHandOver(const Context& context) const
{
    if (!m_demoted || isLeaseEnding(context) || isSuperseded(context))
        return false;
    const auto* const candidate = context.watcher.find(*m_recordedCandidate);
    const auto end = demotedLogEnd(context.watcher);
    return candidate && end && candidate->status->received >= *end;
}

} // namespace Auburnpost::Proxy
