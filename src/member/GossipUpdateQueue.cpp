#include "member/GossipUpdateQueue.h"

#include <algorithm>

namespace Auburnpost::Member {

void GossipUpdateQueue::add(const HostName& name)
{
    m_transmissions[name] = 0;
}

std::vector<HostName> GossipUpdateQueue::inTransmitOrder() const
{
    std::vector<HostName> names;
    names.reserve(m_transmissions.size());
    for (const auto& item : m_transmissions)
        names.push_back(item.first);
    std::stable_sort(names.begin(), names.end(), [this](const HostName& left, const HostName& right) {
        return m_transmissions.at(left) < m_transmissions.at(right);
    });
    return names;
}

void GossipUpdateQueue::recordTransmission(const HostName& name, std::size_t transmitLimit)
{
    const auto found = m_transmissions.find(name);
    if (found != m_transmissions.end() && ++found->second >= transmitLimit)
        m_transmissions.erase(found);
}

} // namespace Auburnpost::Member
