#pragma once

#include "limit/AllotmentHost.h"
#include "limit/AllotmentMessage.h"
#include "limit/AllotmentRules.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Limit {

/// Chooses this host's coordinator: the host that holds more than half of all shares if one is known, otherwise the
/// first host of the ranking by rendezvous hashing that replies. All hosts that reach each other choose the same one,
/// and keep it when a host that ranks higher returns, as shares yield nothing while they change hands.
class AllotmentPeers {
public:
    /// What the last reply told about the peer.
    struct Peer {
        AllotmentHost host;
        /// Whether the peer may be the coordinator.
        bool isUsable { false };
        /// Whether the peer stopped replying, and needs several replies to be usable again.
        bool wasSilent { false };
        HostStart start;
        ClockStamp stamp;
        RequestNumber probe;
        bool isProbeAnswered { false };
        std::uint32_t sharePermille { 0 };
        int successiveReplies { 0 };
    };

    AllotmentPeers(HostName self, AllotmentTimes);

    void setHosts(const std::vector<AllotmentHost>&);
    /// Chooses the coordinator anew.
    /// @param ownShare the part of all shares that this host holds.
    void choose(double ownShare);
    /// @return the coordinator; null for this host itself.
    [[nodiscard]] Peer* coordinator();
    /// @return the peer with the address; null if there is none.
    [[nodiscard]] Peer* find(const SocketAddress&);
    /// Records that the coordinator stopped replying.
    void recordSilence(Peer&);
    /// Records a reply to a request or a probe.
    void recordReply(const AllotmentReply&, Peer&);
    /// @return the peers to probe now.
    std::vector<Peer*> peersToProbe(Instant now);
    /// @return the hash by which a host is named in replies.
    [[nodiscard]] static std::uint32_t hashOf(const HostName&);
    [[nodiscard]] std::size_t listed() const { return m_ranking.size(); }

private:
    /// Whether one host holds so much that no other can hold more.
    [[nodiscard]] static bool isMajority(double share) { return share > 0.5; }

    HostName m_self;
    std::optional<HostName> m_coordinator;
    /// Hash of the name of another host's coordinator.
    std::uint32_t m_hinted { 0 };
    double m_ownShare { 0 };
    AllotmentTimes m_times;
    /// All hosts including this one, in order of preference.
    std::vector<Peer> m_ranking;
    Instant m_probeAt {};
    std::size_t m_nextProbed { 0 };
};

} // namespace Auburnpost::Limit
