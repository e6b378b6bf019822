#include "route/TargetChoice.h"

#include "route/Freshness.h"

#include <algorithm>

namespace Auburnpost::Route {

namespace {

    /// A replica of the own data centre with a longer queue than this gives way to the others.
    constexpr std::size_t localQueueBound = 8;

    using Pick = std::vector<const ReadCandidate*>;

    const ReadCandidate& lessLoadedOfTwo(const Pick& pick, RandomEngine& random)
    {
        std::uniform_int_distribution<std::size_t> index(0, pick.size() - 1);
        const auto* first = pick[index(random)];
        const auto* second = pick[index(random)];
        return second->load < first->load ? *second : *first;
    }

} // namespace

std::optional<TargetName> chooseReplica(const std::vector<ReadCandidate>& candidates, const Freshness& freshness,
    const DataCentreName& own, RandomEngine& random)
{
    Pick fresh;
    for (const auto& candidate : candidates) {
        if (freshness.isMetBy(candidate.end, candidate.age))
            fresh.push_back(&candidate);
    }
    if (fresh.empty())
        return std::nullopt;
    Pick local;
    std::copy_if(fresh.begin(), fresh.end(), std::back_inserter(local),
        [&own](const auto* candidate) { return candidate->dataCentre == own && candidate->load <= localQueueBound; });
    return lessLoadedOfTwo(local.empty() ? fresh : local, random).target;
}

} // namespace Auburnpost::Route
