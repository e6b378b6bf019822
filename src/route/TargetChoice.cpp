#include "route/TargetChoice.h"

#include "route/Freshness.h"

#include <algorithm>

namespace Auburnpost::Route {

namespace {

    /// Replicas of the own data centre are preferred up to this number of statements in flight and queued.
    constexpr std::size_t maxLocalLoad = 8;

    /// A replica whose known end is at most this old keeps up with the primary: it is likely to hold entries that it
    /// has not reported yet.
    constexpr Duration maxKeepsUpAge = std::chrono::milliseconds(250);

    using Candidates = std::vector<const ReadCandidate*>;

    const ReadCandidate& lessLoadedOfTwo(const Candidates& chosen, RandomEngine& random)
    {
        std::uniform_int_distribution<std::size_t> index(0, chosen.size() - 1);
        const auto* first = chosen[index(random)];
        const auto* second = chosen[index(random)];
        return second->load < first->load ? *second : *first;
    }

    bool isFresh(const ReadCandidate& candidate, const Freshness& freshness)
    {
        return freshness.isSatisfiedBy(candidate.end, candidate.age);
    }

    bool isLikelyFresh(const ReadCandidate& candidate, const Freshness& freshness)
    {
        const bool isAgeAccepted = !freshness.maxAge || *freshness.maxAge >= maxKeepsUpAge;
        return candidate.age && *candidate.age <= maxKeepsUpAge && isAgeAccepted
            && candidate.end.term == freshness.required.term;
    }

    Candidates candidatesWhere(const std::vector<ReadCandidate>& candidates, const Freshness& freshness,
        bool (*isSuitable)(const ReadCandidate&, const Freshness&))
    {
        Candidates chosen;
        for (const auto& candidate : candidates) {
            if (isSuitable(candidate, freshness))
                chosen.push_back(&candidate);
        }
        return chosen;
    }

} // namespace

std::optional<TargetName> chooseReplica(const std::vector<ReadCandidate>& candidates, const Freshness& freshness,
    const DataCentreName& own, RandomEngine& random)
{
    auto fresh = candidatesWhere(candidates, freshness, isFresh);
    if (fresh.empty())
        fresh = candidatesWhere(candidates, freshness, isLikelyFresh);
    if (fresh.empty())
        return std::nullopt;
    Candidates local;
    std::copy_if(fresh.begin(), fresh.end(), std::back_inserter(local),
        [&own](const auto* candidate) { return candidate->dataCentre == own && candidate->load <= maxLocalLoad; });
    return lessLoadedOfTwo(local.empty() ? fresh : local, random).target;
}

} // namespace Auburnpost::Route
