#pragma once

#include "proxy/ConnectionPool.h"
#include "proxy/GroupWatcher.h"

#include <vector>

namespace Auburnpost::Proxy {

/// A target that may serve a read, with the expected latency of its reply in excess of the service time.
struct ReadCandidate {
    TargetName target;
    Duration cost {};
};

/// Ranks the targets of a group for a read that any fresh enough member may serve. Designed for many short reads from
/// all data centres: the nearest target serves a read unless its queue costs more than the round trip to another
/// target.
class ReadTargetSelector {
public:
    /// Mean service time of a statement, from which the cost of a queue is estimated.
    static constexpr Duration serviceTime = std::chrono::milliseconds(20);
    /// Extra cost of the primary, so that reads leave its capacity to the writes if a replica is about as near.
    static constexpr Duration primaryPenalty = std::chrono::milliseconds(10);
    /// Interval at which a single read tries a replica again that was found to lack the position: the replica keeps
    /// applying its log, and each refusal costs a round trip.
    static constexpr Duration lagRetryInterval = std::chrono::milliseconds(50);

    using Pools = std::map<TargetName, ConnectionPool>;

    /// @param avoided targets that failed to serve the read.
    /// @param requiredLogPoint the log point that the read has to see.
    /// @return the candidates, cheapest first.
    [[nodiscard]] static std::vector<ReadCandidate> rank(Instant now, const GroupWatcher&, const Pools&,
        const std::set<TargetName>& avoided, const std::optional<LogPoint>& requiredLogPoint = {});

private:
    /// @return whether the member was recently found not to have the log point.
    static bool lacksLogPoint(
        Instant now, const GroupWatcher&, const GroupWatcher::Member&, const std::optional<LogPoint>&);
    static Duration costOf(const GroupWatcher&, const GroupWatcher::Member&, const Pools&);
};

} // namespace Auburnpost::Proxy
