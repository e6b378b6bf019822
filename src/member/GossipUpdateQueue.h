#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Auburnpost::Member {

/// Hosts whose records have to be gossiped, with the number of transmissions of each.
class GossipUpdateQueue {
public:
    /// Queues a host whose record changed; its transmission count starts again from 0.
    void add(const HostName&);

    /// @return the queued hosts, those with the fewest transmissions first.
    [[nodiscard]] std::vector<HostName> inTransmitOrder() const;
    /// Counts one transmission of the host's record and removes the host after @p transmitLimit transmissions.
    void recordTransmission(const HostName&, std::size_t transmitLimit);

    [[nodiscard]] bool empty() const { return m_transmissions.empty(); }
    [[nodiscard]] std::size_t size() const { return m_transmissions.size(); }

private:
    std::map<HostName, std::size_t> m_transmissions;
};

} // namespace Auburnpost::Member
