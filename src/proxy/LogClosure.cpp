#include "proxy/LogClosure.h"

namespace Auburnpost::Proxy {

void LogClosure::record(const TargetName& name, const TargetStatus& status)
{
    if (status.isPrimary ? status.term >= m_term : status.term > m_term) {
        m_leader = status.isPrimary ? std::optional(name) : std::nullopt;
        m_term = status.term;
        m_end.reset();
    } else if (m_leader == name && !status.isPrimary && status.term == m_term && !m_end) {
        m_end = status.received;
    }
}

} // namespace Auburnpost::Proxy
