#pragma once

#include "base/Random.h"
#include "proxy/ConnectionPool.h"
#include "proxy/GroupWatcher.h"

#include <vector>

namespace Auburnpost::Proxy {

/// A target that may serve a read, with the expected time from sending it to its answer.
struct ReadCandidate {
    TargetName target;
    Duration cost {};
};

/// Ranks the targets of a group for a read that any fresh enough member may serve. Designed for many short reads from
/// all data centres: the nearest target serves a read unless its queue costs more than the round trip to another
/// target. The cost is the estimate of TargetLoad, varied at random so that hosts with the same information choose
/// differently.
class ReadTargetSelector {
public:
    /// Extra cost of the primary, so that reads leave its capacity to the writes if a replica is about as near. As much
    /// as the variation of TargetLoad::defaultService, so that a replica comes before an equally near primary.
    static constexpr Duration primaryPenalty = std::chrono::milliseconds(16);
    /// Interval at which a single read tries a replica again that was found to lack the position: the replica keeps
    /// applying its log, and each refusal costs a round trip.
    static constexpr Duration lagRetryInterval = std::chrono::milliseconds(50);

    using Pools = std::map<TargetName, ConnectionPool>;

    /// @param avoided targets that failed to serve the read.
    /// @param requiredLogPoint the log point that the read has to see.
    /// @param random varies the estimated times.
    /// @return the candidates, cheapest first. Suspect targets that are not down are candidates only if there are no
    /// others, so that a group is not emptied by suspicion alone.
    [[nodiscard]] static std::vector<ReadCandidate> rank(Instant now, const GroupWatcher&, const Pools&,
        const std::set<TargetName>& avoided, const std::optional<LogPoint>& requiredLogPoint, RandomEngine& random);
    /// @return the number of connections with an unanswered request, each of which may take a slot on the target.
    [[nodiscard]] static std::size_t unanswered(const ConnectionPool&);

private:
    /// @return whether the member was recently found not to have the log point.
    static bool lacksLogPoint(
        Instant now, const GroupWatcher&, const GroupWatcher::Member&, const std::optional<LogPoint>&);
    static Duration costOf(
        Instant now, const GroupWatcher&, const GroupWatcher::Member&, const Pools&, RandomEngine& random);
};

} // namespace Auburnpost::Proxy
