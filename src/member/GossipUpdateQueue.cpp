#include "member/NewsQueue.h"

#include <algorithm>

namespace Auburnpost::Member {

void NewsQueue::add(const HostName& name)
{
    m_passedOn[name] = 0;
}

std::vector<HostName> NewsQueue::inOrder() const
{
    std::vector<HostName> names;
    names.reserve(m_passedOn.size());
    for (const auto& item : m_passedOn)
        names.push_back(item.first);
    std::stable_sort(names.begin(), names.end(),
        [this](const HostName& left, const HostName& right) { return m_passedOn.at(left) < m_passedOn.at(right); });
    return names;
}

void NewsQueue::passedOn(const HostName& name, std::size_t repeats)
{
    const auto found = m_passedOn.find(name);
    if (found != m_passedOn.end() && ++found->second >= repeats)
        m_passedOn.erase(found);
}

} // namespace Auburnpost::Member
