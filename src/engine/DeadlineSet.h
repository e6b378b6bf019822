#pragma once

#include "base/Time.h"

#include <set>
#include <utility>
#include <vector>

namespace Auburnpost {

/// Ids ordered by their deadlines.
template <typename Id> class DeadlineSet {
public:
    void add(Instant deadline, const Id& id) { m_entries.emplace(deadline, id); }
    void remove(Instant deadline, const Id& id) { m_entries.erase({ deadline, id }); }

    /// Removes and returns the ids whose deadline is not after @p now.
    std::vector<Id> takeExpired(Instant now)
    {
        std::vector<Id> expired;
        while (!m_entries.empty() && m_entries.begin()->first <= now) {
            expired.push_back(m_entries.begin()->second);
            m_entries.erase(m_entries.begin());
        }
        return expired;
    }

private:
    std::set<std::pair<Instant, Id>> m_entries;
};

} // namespace Auburnpost
