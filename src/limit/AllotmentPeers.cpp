#include "limit/AllotmentPeers.h"

#include "member/RendezvousScore.h"

#include <algorithm>

namespace Auburnpost::Limit {

namespace {

    /// Rendezvous key of the coordinator. There is one for all organisations, so that a host needs one datagram for
    /// all.
    constexpr std::uint64_t coordinatorKey = 0x616c6c6f746d656eULL;
    /// The first peers of the ranking that are probed each time.
    constexpr std::size_t firstProbed = 3;
    /// Further ones, in turn, while no peer is usable.
    constexpr std::size_t furtherProbed = 3;
    constexpr double permille = 1000;

    double scoreOf(const AllotmentHost& host)
    {
        return Member::rendezvousScore(Member::rendezvousHash(host.name.value(), 0), coordinatorKey, host.weight);
    }

} // namespace

AllotmentPeers::AllotmentPeers(HostName self, AllotmentTimes times)
    : m_self(std::move(self))
    , m_times(times)
{
}

void AllotmentPeers::setHosts(const std::vector<AllotmentHost>& hosts)
{
    std::vector<Peer> ranking;
    for (const auto& host : hosts) {
        const auto known = std::find_if(m_ranking.begin(), m_ranking.end(),
            [&host](const Peer& peer) { return peer.host.name == host.name && peer.host.address == host.address; });
        ranking.push_back(known == m_ranking.end() ? Peer {} : *known);
        ranking.back().host = host;
    }
    std::sort(ranking.begin(), ranking.end(), [](const Peer& left, const Peer& right) {
        const auto leftScore = scoreOf(left.host);
        const auto rightScore = scoreOf(right.host);
        return leftScore != rightScore ? leftScore > rightScore : left.host.name < right.host.name;
    });
    m_ranking = std::move(ranking);
    m_probeAt = {};
}

std::uint32_t AllotmentPeers::hashOf(const HostName& name)
{
    return static_cast<std::uint32_t>(Member::rendezvousHash(name.value(), 0));
}

AllotmentPeers::Peer* AllotmentPeers::coordinator()
{
    const auto found = std::find_if(m_ranking.begin(), m_ranking.end(),
        [this](const Peer& peer) { return m_coordinator && peer.host.name == *m_coordinator; });
    return found == m_ranking.end() ? nullptr : &*found;
}

void AllotmentPeers::choose(double ownShare)
{
    m_ownShare = ownShare;
    const auto* const present = coordinator();
    const bool isKept
        = present ? present->isUsable && isMajority(present->sharePermille / permille) : isMajority(ownShare);
    if (isKept)
        return;
    m_coordinator.reset();
    for (const auto& peer : m_ranking) {
        if (peer.isUsable && isMajority(peer.sharePermille / permille)) {
            m_coordinator = peer.host.name;
            return;
        }
    }
    for (const auto& peer : m_ranking) {
        if (peer.host.name == m_self)
            return;
        if (peer.isUsable) {
            m_coordinator = peer.host.name;
            return;
        }
    }
}

AllotmentPeers::Peer* AllotmentPeers::find(const SocketAddress& address)
{
    const auto found = std::find_if(
        m_ranking.begin(), m_ranking.end(), [&address](const Peer& peer) { return peer.host.address == address; });
    return found == m_ranking.end() ? nullptr : &*found;
}

void AllotmentPeers::recordSilence(Peer& peer)
{
    peer.isUsable = false;
    peer.sharePermille = 0;
    peer.wasSilent = true;
    peer.successiveReplies = 0;
    peer.probe = {};
    m_probeAt = {};
}

void AllotmentPeers::recordReply(const AllotmentReply& reply, Peer& peer)
{
    peer.sharePermille = reply.sharePermille;
    if (reply.coordinatorHash != hashOf(peer.host.name))
        m_hinted = reply.coordinatorHash;
    if (peer.isProbeAnswered || peer.probe != reply.number)
        return;
    peer.isProbeAnswered = true;
    peer.start = reply.coordinatorStart;
    peer.stamp = reply.stamp;
    ++peer.successiveReplies;
    peer.isUsable = !peer.wasSilent || peer.successiveReplies >= m_times.probesToReturn;
    if (peer.isUsable)
        peer.wasSilent = false;
}

std::vector<AllotmentPeers::Peer*> AllotmentPeers::peersToProbe(Instant now)
{
    if (now < m_probeAt)
        return {};
    const auto* const present = coordinator();
    if (isMajority(present ? present->sharePermille / permille : m_ownShare))
        return {};
    m_probeAt = now + m_times.probeInterval;
    std::vector<Peer*> others;
    bool isAnyUsable = false;
    for (auto& peer : m_ranking) {
        isAnyUsable = isAnyUsable || peer.isUsable;
        if (peer.host.name != m_self && &peer != present)
            others.push_back(&peer);
    }
    const auto first = std::min(others.size(), firstProbed);
    std::vector<Peer*> probed(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(first));
    for (auto index = first; index < others.size(); ++index) {
        if (hashOf(others[index]->host.name) == m_hinted)
            probed.push_back(others[index]);
    }
    const auto further = isAnyUsable ? 0 : std::min(furtherProbed, others.size() - first);
    for (std::size_t count = 0; count < further; ++count) {
        auto* const next = others[first + m_nextProbed++ % (others.size() - first)];
        if (std::find(probed.begin(), probed.end(), next) == probed.end())
            probed.push_back(next);
    }
    for (auto* const peer : probed) {
        if (!peer->isProbeAnswered && peer->probe != RequestNumber {}) {
            peer->successiveReplies = 0;
            peer->wasSilent = peer->wasSilent || peer->isUsable;
            peer->isUsable = false;
        }
        peer->isProbeAnswered = false;
    }
    return probed;
}

} // namespace Auburnpost::Limit
