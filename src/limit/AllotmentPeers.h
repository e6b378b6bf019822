#pragma once

#include "limit/AllotmentHost.h"
#include "limit/AllotmentMessage.h"
#include "limit/AllotmentRules.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Limit {

/// Chooses this host's coordinator: the first host of the ranking by rendezvous hashing that replies. All hosts that
/// reach each other choose the same one; a host that reaches none above itself in the ranking chooses itself.
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
        int successiveReplies { 0 };
    };

    AllotmentPeers(HostName self, AllotmentTimes);

    void setHosts(const std::vector<AllotmentHost>&);
    /// @return the coordinator; empty for this host itself.
    [[nodiscard]] Peer* coordinator();
    /// @return the peer with the address; null if there is none.
    [[nodiscard]] Peer* find(const SocketAddress&);
    /// Records that the coordinator stopped replying.
    void recordSilence(Peer&);
    /// Records the reply to a probe.
    void recordReply(const AllotmentReply&, Peer&) const;
    /// @return the peers to probe now.
    std::vector<Peer*> peersToProbe(Instant now);
    [[nodiscard]] std::size_t listed() const { return m_ranking.size(); }

private:
    HostName m_self;
    AllotmentTimes m_times;
    /// All hosts including this one, in order of preference.
    std::vector<Peer> m_ranking;
    Instant m_probeAt {};
    std::size_t m_nextProbed { 0 };
};

} // namespace Auburnpost::Limit
