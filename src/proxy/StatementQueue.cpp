#include "proxy/StatementQueue.h"

namespace Auburnpost::Proxy {

void StatementQueue::add(const PendingStatement& pending)
{
    m_waiting.emplace(keyOf(pending), pending.id);
}

void StatementQueue::remove(const PendingStatement& pending)
{
    m_waiting.erase(keyOf(pending));
}

std::vector<PendingStatementId> StatementQueue::inOrder() const
{
    std::vector<PendingStatementId> ids;
    ids.reserve(m_waiting.size());
    for (const auto& [key, id] : m_waiting)
        ids.push_back(id);
    return ids;
}

} // namespace Auburnpost::Proxy
