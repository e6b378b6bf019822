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

void SessionToken::addUnsettled(const DatabaseName& database, const OutcomeKey& key)
{
    auto& unsettled = m_entries[database].unsettled;
    if (std::find(unsettled.begin(), unsettled.end(), key) != unsettled.end())
        return;
    if (unsettled.size() == maxUnsettled)
        unsettled.erase(unsettled.begin());
    unsettled.push_back(key);
}

void SessionToken::settle(const DatabaseName& database, const OutcomeKey& key)
{
    const auto found = m_entries.find(database);
    if (found != m_entries.end())
        std::erase(found->second.unsettled, key);
}

} // namespace Auburnpost::Route
