#include "proxy/VersionExchange.h"

#include "member/RendezvousScore.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Each partner is asked once in half of the limit; the other half is left for partners that do not answer, or are
    /// behind themselves, and for fetching the configuration.
    constexpr int questionsPerLimit = 2 * static_cast<int>(VersionExchange::partners);

} // namespace

VersionExchange::VersionExchange(HostName self, DataCentreName dataCentre, Duration limit)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
    setLimit(limit);
}

void VersionExchange::setLimit(Duration limit)
{
    // At most one question is in progress.
    m_interval = std::max(limit / questionsPerLimit, answerTimeout);
}

void VersionExchange::setHosts(const std::vector<HostEntry>& hosts)
{
    std::vector<std::pair<double, HostEntry>> scored;
    const auto ownHash = Member::rendezvousHash(m_self.value(), 1);
    for (const auto& host : hosts) {
        if (host.name == m_self || !host.peers)
            continue;
        const auto hostHash = Member::rendezvousHash(host.name.value(), 0);
        scored.emplace_back(Member::rendezvousScore(hostHash, ownHash, 1), host);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second.name < right.second.name;
    });
    m_ranked.clear();
    for (auto& [score, host] : scored)
        m_ranked.push_back(std::move(host));
}

std::vector<SocketAddress> VersionExchange::choosePartners(bool isAvoided) const
{
    std::vector<SocketAddress> local;
    std::vector<SocketAddress> remote;
    for (const auto& host : m_ranked) {
        if (!isAvoided || !m_avoidedUntil.contains(*host.peers))
            (host.dataCentre == m_dataCentre ? local : remote).push_back(*host.peers);
    }
    // Where one kind has too few hosts, the other one fills the places.
    const auto remotePlaces = std::max(remotePartners, partners - std::min(partners, local.size()));
    remote.resize(std::min(remote.size(), remotePlaces));
    local.resize(std::min(local.size(), partners - remote.size()));
    local.insert(local.end(), remote.begin(), remote.end());
    return local;
}

std::optional<SocketAddress> VersionExchange::nextQuestion(Instant now)
{
    if (now < m_nextAt)
        return {};
    m_nextAt = now + m_interval;
    std::erase_if(m_avoidedUntil, [now](const auto& entry) { return entry.second <= now; });
    auto chosen = choosePartners(true);
    if (chosen.empty())
        chosen = choosePartners(false);
    if (chosen.empty())
        chosen = m_seeds;
    if (chosen.empty())
        return {};
    m_position = (m_position + 1) % chosen.size();
    return chosen[m_position];
}

bool VersionExchange::recordFailure(Instant now, const SocketAddress& partner)
{
    const bool isNew = m_avoidedUntil.emplace(partner, Instant {}).second;
    m_avoidedUntil[partner] = now + avoidanceTime;
    // While nobody answers, the questions keep their interval.
    if (!choosePartners(true).empty())
        m_nextAt = now;
    return isNew;
}

} // namespace Auburnpost::Proxy
