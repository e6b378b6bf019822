#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "member/GossipUpdateQueue.h"
#include "member/HostTable.h"
#include "member/MembershipAction.h"
#include "member/MembershipSettings.h"
#include "member/Prober.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Member {

struct GossipDatagram;
class GossipWriter;
enum class GossipKind : std::uint8_t;

/// An entry of the platform's host list. The list lags behind, so an entry serves only as a contact address.
struct ListedHost {
    HostName name;
    SocketAddress gossip;
};

/// Counters since the start of the process.
struct MembershipCounters {
    std::uint64_t datagramsSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t datagramsReceived { 0 };
    std::uint64_t datagramsRejected { 0 };
    std::uint64_t suspicions { 0 };
    std::uint64_t refutations { 0 };
    std::uint64_t pauses { 0 };
};

/// This host's view of the membership, maintained by a SWIM-style gossip protocol: direct and indirect probes,
/// suspicion that the suspect can refute with a higher incarnation, membership updates piggybacked on every datagram,
/// and a digest exchange that also merges the views of the two sides after a network partition.
class Membership {
public:
    Membership(HostDescription self, MembershipSettings);

    /// Runs the probes, suspicion timeouts, gossip rounds and digest exchanges that are due.
    /// @param now the current time, not before that of the previous call.
    MembershipActions tick(Instant now, RandomEngine&);

    /// Handles one received datagram.
    /// @return the actions to perform, or ErrorCode::BadMessage if @p bytes are not a gossip datagram.
    Expected<MembershipActions> handleDatagram(Instant now, const SocketAddress& from, std::string_view bytes);

    /// Replaces the contact addresses from the platform's host list. The list does not make any host live or dead.
    void setHostList(Instant now, const std::vector<ListedHost>&);

    /// Announces the planned shutdown of this host, which is gossiped from the next tick on. The host keeps answering
    /// probes.
    void announceShutdown(Instant now);

    /// Announces the version of the operators' document that this host holds; a lower version than before is ignored.
    void setConfigVersion(Instant now, ConfigVersion);

    /// @return this host's own record.
    [[nodiscard]] const HostRecord& self() const { return m_self; }
    /// @return the live hosts, including this host, suspects and leaving hosts, sorted by name.
    [[nodiscard]] std::vector<HostRecord> liveHosts() const;
    /// @return the record of a host, which may be dead; null if it is unknown.
    [[nodiscard]] const HostRecord* find(const HostName&) const;
    /// @return the records of all other hosts, sorted by name.
    [[nodiscard]] std::vector<HostRecord> records() const;
    [[nodiscard]] const MembershipCounters& counters() const { return m_counters; }
    /// @return the highest known version of the document, this host's own included.
    [[nodiscard]] ConfigVersion highestConfigVersion() const { return m_highestVersion; }
    /// @return a state dump with one line per host and one line of counters.
    [[nodiscard]] std::string dump() const;

private:
    /// How a record reached this host, which decides whether it is gossiped further.
    enum class Source : std::uint8_t {
        Gossip,
        Exchange,
    };

    void start(Instant now, RandomEngine&);
    void compensatePause(Instant now);
    void expireSuspicions(Instant now, MembershipActions&);
    void probe(Instant now, RandomEngine&, MembershipActions&);
    void ping(const HostName&, MembershipActions&);
    void requestIndirectProbes(const HostName&, RandomEngine&, MembershipActions&);
    void markSuspected(Instant now, const HostName&, MembershipActions&);
    void sendGossip(Instant now, RandomEngine&, MembershipActions&);
    void exchangeDigest(Instant now, RandomEngine&, MembershipActions&);
    void reconnect(Instant now, RandomEngine&, MembershipActions&);

    void merge(Instant now, const HostRecord&, Source, MembershipActions&);
    /// Turns a death reported by another host into a suspicion, unless it is gossip about a host already suspected
    /// here. Otherwise the two sides of a healed partition would accept each other's outdated deaths before the hosts
    /// concerned can refute them.
    [[nodiscard]] HostRecord downgradeReportedDeath(HostRecord, Source) const;
    void mergeSelf(const HostRecord&);
    void trackSuspicion(Instant now, const HostRecord* before, const HostRecord& after);
    void recordConfigVersion(ConfigVersion, const HostName& holder, MembershipActions&);
    void respond(Instant now, const SocketAddress& from, const GossipDatagram&, MembershipActions&);
    void handleAck(const GossipDatagram&, MembershipActions&);
    void handlePingRequest(Instant now, const SocketAddress& from, const GossipDatagram&, MembershipActions&);
    void handleDigest(Instant now, const SocketAddress& from, const GossipDatagram&, MembershipActions&);

    [[nodiscard]] GossipDatagram makeDatagram(GossipKind) const;
    void send(const SocketAddress& to, const HostName& toName, const GossipDatagram& head, MembershipActions&);
    void sendDigest(Instant now, const SocketAddress& to, const HostName& toName, MembershipActions&);
    void addUpdates(GossipWriter&, const HostName& recipient);
    void appendDatagram(const SocketAddress& to, const GossipWriter&, MembershipActions&);
    [[nodiscard]] std::vector<HostRecord> randomLiveHosts(
        std::size_t count, const HostName& except, RandomEngine&) const;
    [[nodiscard]] std::size_t updateTransmitLimit() const;
    [[nodiscard]] std::vector<SocketAddress> addressesToReconnect() const;

    MembershipSettings m_settings;
    HostRecord m_self;
    HostTable m_table;
    GossipUpdateQueue m_updates;
    Prober m_prober;
    std::map<HostName, Instant> m_suspicionEnds;
    /// Contact addresses from the platform's host list.
    std::vector<SocketAddress> m_listedAddresses;
    ConfigVersion m_highestVersion;
    HostName m_highestVersionHost;
    /// Gossip rounds left for spreading the highest version.
    std::size_t m_versionRoundsLeft { 0 };
    std::optional<Instant> m_lastCallAt;
    bool m_hasStarted { false };
    Instant m_nextGossip;
    Instant m_nextDigestExchange;
    Instant m_nextReconnect;
    MembershipCounters m_counters;
};

} // namespace Auburnpost::Member
