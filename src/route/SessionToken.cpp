#include "route/SessionToken.h"

#include <algorithm>

namespace Auburnpost::Route {

SessionEntry SessionToken::entry(const DatabaseName& database) const
{
    const auto found = m_entries.find(database);
    return found == m_entries.end() ? SessionEntry {} : found->second;
}

void SessionToken::advance(const DatabaseName& database, const LogPoint& point)
{
    auto& seen = m_entries[database].seen;
    seen = std::max(seen, point);
}

void SessionToken::addUnresolved(const DatabaseName& database, const OutcomeKey& key)
{
    auto& unresolved = m_entries[database].unresolved;
    if (std::find(unresolved.begin(), unresolved.end(), key) != unresolved.end())
        return;
    if (unresolved.size() == maxUnresolved)
        unresolved.erase(unresolved.begin());
    unresolved.push_back(key);
}

void SessionToken::resolve(const DatabaseName& database, const OutcomeKey& key)
{
    const auto found = m_entries.find(database);
    if (found != m_entries.end())
        std::erase(found->second.unresolved, key);
}

} // namespace Auburnpost::Route
