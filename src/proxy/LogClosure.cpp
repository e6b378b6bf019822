#include "proxy/LogClosure.h"

namespace Auburnpost::Proxy {

void LogClosure::record(Instant now, const TargetName& name, const TargetStatus& status)
{
    if (status.isPrimary ? status.term >= m_term : status.term > m_term) {
        m_leader = status.isPrimary ? std::optional(name) : std::nullopt;
        m_term = status.term;
        m_end.reset();
    } else if (m_leader == name && !status.isPrimary && status.term == m_term && !m_end) {
        m_end = status.received;
        m_closedAt = now;
    }
}

bool LogClosure::isFinal(const TargetName& name, Instant queriedAt) const
{
    // The leader's own report is of a moment after its last commit.
    return m_end && (queriedAt >= m_closedAt || name == m_leader);
}

} // namespace Auburnpost::Proxy
