#pragma once

#include "proxy/ConnectionPool.h"
#include "proxy/GroupWatcher.h"

#include <vector>

namespace Auburnpost::Proxy {

/// A target that may serve a read, and how long its answer is expected to take beyond the service itself.
struct ReadCandidate {
    TargetName target;
    Duration cost {};
};

/// Orders the targets of a group for a read that any fresh enough member may serve. Answers a load of many short reads
/// from all data centres: the nearest target serves, until its queue costs more than the way to another one.
class ReadPlacement {
public:
    /// Mean service time of a statement, for the cost of a queue.
    static constexpr Duration serviceTime = std::chrono::milliseconds(20);
    /// Keeps reads off the primary, which alone takes the writes, while a replica is about as near.
    static constexpr Duration primaryPenalty = std::chrono::milliseconds(10);
    /// A replica that has shown to lack the position is tried again after this, by one read; it applies all the
    /// time, and a refusal costs a round trip.
    static constexpr Duration lagRetry = std::chrono::milliseconds(50);

    using Pools = std::map<TargetName, ConnectionPool>;

    /// @param avoided targets that failed to serve the read.
    /// @param after the position that the read has to see.
    /// @return the candidates, the cheapest first.
    [[nodiscard]] static std::vector<ReadCandidate> order(Instant now, const GroupWatcher&, const Pools&,
        const std::set<TargetName>& avoided, const std::optional<LogPoint>& after = {});

private:
    static bool lacks(Instant now, const GroupWatcher&, const GroupWatcher::Member&, const std::optional<LogPoint>&);
    static Duration costOf(const GroupWatcher&, const GroupWatcher::Member&, const Pools&);
};

} // namespace Auburnpost::Proxy
