#include "proxy/GroupHomes.h"

#include "member/RendezvousScore.h"

#include <algorithm>
#include <set>

namespace Auburnpost::Proxy {

GroupHomes::GroupHomes(HostName self, DataCentreName dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void GroupHomes::setHosts(std::vector<HostEntry> hosts)
{
    m_hosts = std::move(hosts);
    m_rankings.clear();
    m_recorderRanks.clear();
}

void GroupHomes::recordFailure(Instant now, const HostName& host)
{
    m_avoidedUntil[host] = now + avoidanceTime;
}

void GroupHomes::recordRefusal(Instant now, const HostName& host, const GroupName& group)
{
    m_refusedUntil[{ host, group }] = now + avoidanceTime;
}

bool GroupHomes::areNeeded(std::size_t connectionLimit) const
{
    return connectionLimit < m_hosts.size() * minDirectConnections;
}

const std::vector<HostEntry>& GroupHomes::ranking(const GroupName& group) const
{
    const auto known = m_rankings.find(group);
    if (known != m_rankings.end())
        return known->second;
    std::vector<std::pair<double, HostEntry>> scored;
    const auto groupHash = Member::rendezvousHash(group.value(), 1);
    for (const auto& host : m_hosts) {
        if (host.dataCentre == m_dataCentre)
            scored.emplace_back(
                Member::rendezvousScore(Member::rendezvousHash(host.name.value(), 0), groupHash, host.processorShare),
                host);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second.name < right.second.name;
    });
    auto& ranked = m_rankings[group];
    for (auto& [score, host] : scored)
        ranked.push_back(std::move(host));
    return ranked;
}

bool GroupHomes::isHome(const GroupName& group) const
{
    const auto& ranked = ranking(group);
    return ranked.empty() || ranked.front().name == m_self;
}

std::optional<std::size_t> GroupHomes::recorderRank(const GroupName& group) const
{
    const auto known = m_recorderRanks.find(group);
    if (known != m_recorderRanks.end())
        return known->second;
    struct Scored {
        double score;
        const HostEntry* host;
    };
    std::vector<Scored> scored;
    const auto groupHash = Member::rendezvousHash(group.value(), 1);
    for (const auto& host : m_hosts)
        scored.push_back(
            { Member::rendezvousScore(Member::rendezvousHash(host.name.value(), 0), groupHash, 1.0), &host });
    std::sort(scored.begin(), scored.end(), [](const Scored& left, const Scored& right) {
        return left.score != right.score ? left.score > right.score : left.host->name < right.host->name;
    });
    // The best host of each data centre is the group's home there.
    std::set<DataCentreName> dataCentres;
    std::stable_partition(scored.begin(), scored.end(),
        [&dataCentres](const Scored& entry) { return dataCentres.insert(entry.host->dataCentre).second; });
    const auto self = std::find_if(
        scored.begin(), scored.end(), [this](const Scored& entry) { return entry.host->name == m_self; });
    const auto rank = static_cast<std::size_t>(self - scored.begin());
    const bool isRecorder = self != scored.end() && rank < maxRecorders;
    return m_recorderRanks[group] = isRecorder ? std::optional(rank) : std::nullopt;
}

std::optional<HostEntry> GroupHomes::homeFor(Instant now, const GroupName& group)
{
    const auto isOver = [now](const auto& entry) { return entry.second <= now; };
    std::erase_if(m_avoidedUntil, isOver);
    std::erase_if(m_refusedUntil, isOver);
    for (const auto& host : ranking(group)) {
        if (host.name == m_self)
            return {};
        if (!m_avoidedUntil.contains(host.name) && !m_refusedUntil.contains({ host.name, group }))
            return host;
    }
    return {};
}

} // namespace Auburnpost::Proxy
