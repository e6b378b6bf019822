#include "proxy/FeederChoice.h"

#include "member/RendezvousScore.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    constexpr auto placementKey = "table feeds";

} // namespace

FeederChoice::FeederChoice(HostName self, DataCentreName dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void FeederChoice::setHosts(const std::vector<HostEntry>& hosts)
{
    std::vector<std::pair<double, HostEntry>> scored;
    const auto keyHash = Member::rendezvousHash(placementKey, 1);
    for (const auto& host : hosts) {
        if (host.dataCentre != m_dataCentre || !host.peers)
            continue;
        const auto hostHash = Member::rendezvousHash(host.name.value(), 0);
        scored.emplace_back(Member::rendezvousScore(hostHash, keyHash, host.processorShare), host);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second.name < right.second.name;
    });
    m_areUsed = scored.size() >= minHosts;
    m_ranked.clear();
    for (auto& [score, host] : scored)
        m_ranked.push_back(std::move(host));
}

std::optional<SocketAddress> FeederChoice::feeder(Instant now)
{
    if (!m_areUsed || now < m_followsStoreUntil)
        return {};
    std::erase_if(m_avoidedUntil, [now](const auto& entry) { return entry.second <= now; });
    std::vector<const HostEntry*> chosen;
    for (const auto& host : m_ranked) {
        if (chosen.size() == feeders)
            break;
        if (host.name == m_self)
            return {};
        if (!m_avoidedUntil.contains(*host.peers))
            chosen.push_back(&host);
    }
    if (chosen.empty())
        return {};
    // The followers are divided between the feeders by their names.
    return chosen[Member::rendezvousHash(m_self.value(), 2) % chosen.size()]->peers;
}

void FeederChoice::recordFailure(Instant now, const SocketAddress& feeder)
{
    m_avoidedUntil[feeder] = now + avoidanceTime;
    m_followsStoreUntil = now + storeTime;
}

} // namespace Auburnpost::Proxy
