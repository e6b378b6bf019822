#include "member/HomePlacement.h"

#include "member/HostRecord.h"
#include "member/RendezvousScore.h"

#include <algorithm>

namespace Auburnpost::Member {

namespace {

    constexpr double primaryWeight = 2.0;
    constexpr double otherWeight = 1.0;

    struct ScoredCandidate {
        double score { 0 };
        std::size_t candidate { 0 };
        bool chosen { false };
    };

} // namespace

HomePlacement::HomePlacement(const std::vector<HostRecord>& hosts)
{
    for (const auto& record : hosts) {
        if (record.isLive() && !record.leaving)
            m_candidates.push_back(
                { record.host.name, record.host.dataCentre, rendezvousHash(record.host.name.value(), 0) });
    }
    std::sort(m_candidates.begin(), m_candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.name < right.name; });
}

std::vector<HostName> HomePlacement::homes(const PlacementRequirements& requirements) const
{
    const auto databaseHash = rendezvousHash(requirements.database.value(), 1);
    std::vector<ScoredCandidate> scored;
    scored.reserve(m_candidates.size());
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const auto& candidate = m_candidates[index];
        const bool isInPrimaryDataCentre = candidate.dataCentre == requirements.primaryDataCentre;
        scored.push_back(
            { rendezvousScore(candidate.hash, databaseHash, isInPrimaryDataCentre ? primaryWeight : otherWeight),
                index });
    }
    std::sort(scored.begin(), scored.end(), [](const ScoredCandidate& left, const ScoredCandidate& right) {
        return left.score != right.score ? left.score > right.score : left.candidate < right.candidate;
    });

    std::size_t chosen = 0;
    const auto choose = [&](auto&& matches) {
        const auto found = std::find_if(scored.begin(), scored.end(),
            [&](const ScoredCandidate& entry) { return !entry.chosen && matches(entry); });
        if (chosen >= requirements.homes || found == scored.end())
            return false;
        found->chosen = true;
        ++chosen;
        return true;
    };
    std::vector<DataCentreName> required { requirements.primaryDataCentre };
    for (const auto& dataCentre : requirements.replicaDataCentres) {
        if (std::find(required.begin(), required.end(), dataCentre) == required.end())
            required.push_back(dataCentre);
    }
    for (const auto& dataCentre : required)
        choose([&](const ScoredCandidate& entry) { return m_candidates[entry.candidate].dataCentre == dataCentre; });
    while (choose([](const ScoredCandidate&) { return true; })) { }

    std::vector<HostName> names;
    for (const auto& entry : scored) {
        if (entry.chosen)
            names.push_back(m_candidates[entry.candidate].name);
    }
    return names;
}

} // namespace Auburnpost::Member
