#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Auburnpost::Member {

/// Names the hosts whose records are news, and how often each was passed on.
class NewsQueue {
public:
    /// A host's record changed: it is passed on anew.
    void add(const HostName&);

    /// @return the hosts in the order in which to pass them on: least passed on first.
    [[nodiscard]] std::vector<HostName> inOrder() const;
    /// Counts a passing-on; after @p repeats of them the record is no news any more.
    void passedOn(const HostName&, std::size_t repeats);

    [[nodiscard]] bool empty() const { return m_passedOn.empty(); }
    [[nodiscard]] std::size_t size() const { return m_passedOn.size(); }

private:
    std::map<HostName, std::size_t> m_passedOn;
};

} // namespace Auburnpost::Member
