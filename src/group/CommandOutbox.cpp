#include "group/CommandOutbox.h"

#include <algorithm>

namespace Auburnpost::Group {

CorrelationId CommandOutbox::send(
    Instant now, const TargetName& target, const GroupCommand& command, CommandPurpose purpose)
{
    const CorrelationId correlation(++m_lastCorrelation);
    m_pending.emplace(correlation, PendingCommand { target, command, purpose, now, correlation });
    push(SendCommand { target, correlation, command });
    return correlation;
}

std::optional<PendingCommand> CommandOutbox::complete(const TargetName& target, CorrelationId correlation)
{
    const auto found = m_pending.find(correlation);
    if (found == m_pending.end() || found->second.target != target)
        return std::nullopt;
    auto pending = std::move(found->second);
    m_pending.erase(found);
    return pending;
}

std::vector<PendingCommand> CommandOutbox::expireSentBefore(Instant limit)
{
    std::vector<PendingCommand> expired;
    // Correlations rise with the time of sending, so the oldest commands come first.
    while (!m_pending.empty() && m_pending.begin()->second.sentAt < limit) {
        expired.push_back(std::move(m_pending.begin()->second));
        m_pending.erase(m_pending.begin());
    }
    return expired;
}

std::size_t CommandOutbox::inFlight(const TargetName& target, CommandPurpose purpose) const
{
    return static_cast<std::size_t>(std::count_if(m_pending.begin(), m_pending.end(),
        [&](const auto& entry) { return entry.second.target == target && entry.second.purpose == purpose; }));
}

} // namespace Auburnpost::Group
