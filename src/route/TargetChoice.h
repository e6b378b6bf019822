#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Random.h"
#include "base/Time.h"

#include <optional>
#include <vector>

namespace Auburnpost::Route {

struct Freshness;

/// A replica that a read may go to.
struct ReadCandidate {
    TargetName target;
    DataCentreName dataCentre;
    /// Last known end of its log.
    LogPoint end;
    /// Upper bound of the age of that end; empty when not known.
    std::optional<Duration> age;
    /// Statements in flight and queued on it from this host.
    std::size_t load { 0 };
};

/// Chooses the replica for a read: one that is known to be fresh enough, else one that keeps up with the primary and is
/// therefore likely to be. Replicas of the own data centre are preferred; among the preferred replicas the less loaded
/// of two random ones is chosen. The freshness of its answer still has to be checked.
/// @return the replica; empty when no candidate is suitable.
std::optional<TargetName> chooseReplica(
    const std::vector<ReadCandidate>&, const Freshness&, const DataCentreName& own, RandomEngine&);

} // namespace Auburnpost::Route
