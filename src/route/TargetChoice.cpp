#include "route/TargetChoice.h"

#include "route/Freshness.h"

#include <algorithm>

namespace Auburnpost::Route {

namespace {

    /// A replica of the own data centre with a longer queue than this gives way to the others.
    constexpr std::size_t localQueueBound = 8;

    /// A replica whose known end is no older than this keeps up: what it is not yet known to hold it has likely got.
    constexpr Duration keepsUpAge = std::chrono::milliseconds(250);

    using Pick = std::vector<const ReadCandidate*>;

    const ReadCandidate& lessLoadedOfTwo(const Pick& pick, RandomEngine& random)
    {
        std::uniform_int_distribution<std::size_t> index(0, pick.size() - 1);
        const auto* first = pick[index(random)];
        const auto* second = pick[index(random)];
        return second->load < first->load ? *second : *first;
    }

    bool meets(const ReadCandidate& candidate, const Freshness& freshness)
    {
        return freshness.isMetBy(candidate.end, candidate.age);
    }

    bool likelyMeets(const ReadCandidate& candidate, const Freshness& freshness)
    {
        const bool ageWillDo = !freshness.maxAge || *freshness.maxAge >= keepsUpAge;
        return candidate.age && *candidate.age <= keepsUpAge && ageWillDo
            && candidate.end.term == freshness.required.term;
    }

    Pick pickWhere(const std::vector<ReadCandidate>& candidates, const Freshness& freshness,
        bool (*suits)(const ReadCandidate&, const Freshness&))
    {
        Pick pick;
        for (const auto& candidate : candidates) {
            if (suits(candidate, freshness))
                pick.push_back(&candidate);
        }
        return pick;
    }

} // namespace

std::optional<TargetName> chooseReplica(const std::vector<ReadCandidate>& candidates, const Freshness& freshness,
    const DataCentreName& own, RandomEngine& random)
{
    auto fresh = pickWhere(candidates, freshness, meets);
    if (fresh.empty())
        fresh = pickWhere(candidates, freshness, likelyMeets);
    if (fresh.empty())
        return std::nullopt;
    Pick local;
    std::copy_if(fresh.begin(), fresh.end(), std::back_inserter(local),
        [&own](const auto* candidate) { return candidate->dataCentre == own && candidate->load <= localQueueBound; });
    return lessLoadedOfTwo(local.empty() ? fresh : local, random).target;
}

} // namespace Auburnpost::Route
