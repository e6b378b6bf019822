#include "proxy/WorkQueue.h"

namespace Auburnpost::Proxy {

void WorkQueue::add(const Work& work)
{
    m_waiting.emplace(keyOf(work), work.id);
}

void WorkQueue::remove(const Work& work)
{
    m_waiting.erase(keyOf(work));
}

std::vector<WorkId> WorkQueue::inOrder() const
{
    std::vector<WorkId> ids;
    ids.reserve(m_waiting.size());
    for (const auto& [key, id] : m_waiting)
        ids.push_back(id);
    return ids;
}

} // namespace Auburnpost::Proxy
