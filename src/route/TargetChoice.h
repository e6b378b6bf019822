#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Random.h"
#include "base/Time.h"

#include <optional>
#include <vector>

namespace Auburnpost::Route {

struct Freshness;

/// A replica as the choice sees it.
struct ReadCandidate {
    TargetName target;
    DataCentreName dataCentre;
    /// Last known end of its log.
    LogPoint end;
    /// Bound of the age of that end.
    std::optional<Duration> age;
    /// Statements in flight and queued on it from this host.
    std::size_t load { 0 };
};

/// Chooses the replica for a read: one that is fresh enough by what is known, else one that keeps up and so is likely
/// to be; in the own data centre first, then the less loaded of two taken at random. The caller checks the answer.
/// @return empty when no candidate will do.
std::optional<TargetName> chooseReplica(
    const std::vector<ReadCandidate>&, const Freshness&, const DataCentreName& own, RandomEngine&);

} // namespace Auburnpost::Route
