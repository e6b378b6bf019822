#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "member/HostTable.h"
#include "member/MembershipAction.h"
#include "member/MembershipSettings.h"
#include "member/NewsQueue.h"
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

/// A host as the platform's lagging list names it: a contact address and no more.
struct ListedHost {
    HostName name;
    SocketAddress gossip;
};

/// Counters since the start.
struct MembershipCounters {
    std::uint64_t datagramsSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t datagramsTaken { 0 };
    std::uint64_t datagramsRefused { 0 };
    std::uint64_t suspicions { 0 };
    std::uint64_t refutations { 0 };
    std::uint64_t pauses { 0 };
};

/// The members of the site as this host knows them, kept up by gossip: probes with indirect probes, suspicion that
/// the suspect can refute by a higher incarnation, news on the back of each datagram, and a digest exchange that
/// joins halves that were cut apart.
class Membership {
public:
    Membership(HostDescription self, MembershipSettings);

    /// Drives probes, suspicion, news and exchanges.
    /// @param now the present time; calls come in order of time.
    MembershipActions tick(Instant now, RandomEngine&);

    /// Takes one datagram.
    /// @return what to do, or ErrorCode::BadMessage for bytes that are no gossip datagram.
    Expected<MembershipActions> datagram(Instant now, const SocketAddress& from, std::string_view bytes);

    /// Replaces the contact addresses that came from the platform's list. It proves nobody's life or death.
    void hostList(Instant now, const std::vector<ListedHost>&);

    /// Announces a planned stop of this host; spread eagerly from the next tick on. It keeps answering probes.
    void leave(Instant now);

    /// Says which version of the operators' document this host holds.
    void setConfigVersion(Instant now, ConfigVersion);

    /// @return this host's own record.
    [[nodiscard]] const HostRecord& self() const { return m_self; }
    /// @return live hosts with this one, suspects and leaving ones included, in order of name.
    [[nodiscard]] std::vector<HostRecord> liveHosts() const;
    /// @return the record of a host, dead ones included; null when it is unknown.
    [[nodiscard]] const HostRecord* find(const HostName&) const;
    /// @return every record but this host's own, in order of name.
    [[nodiscard]] std::vector<HostRecord> records() const;
    [[nodiscard]] const MembershipCounters& counters() const { return m_counters; }
    /// @return highest version of the document known, this host's own included.
    [[nodiscard]] ConfigVersion highestConfigVersion() const { return m_highestVersion; }
    /// @return one line for each host and one of counters.
    [[nodiscard]] std::string dump() const;

private:
    /// How a record reached this host; decides whether it is passed on.
    enum class Source : std::uint8_t {
        News,
        Exchange,
    };

    void start(Instant now, RandomEngine&);
    void compensatePause(Instant now);
    void expireSuspicions(Instant now, MembershipActions&);
    void probe(Instant now, RandomEngine&, MembershipActions&);
    void ping(const HostName&, MembershipActions&);
    void askOthersToPing(const HostName&, RandomEngine&, MembershipActions&);
    void suspect(Instant now, const HostName&, MembershipActions&);
    void gossip(Instant now, RandomEngine&, MembershipActions&);
    void sync(Instant now, RandomEngine&, MembershipActions&);
    void reconnect(Instant now, RandomEngine&, MembershipActions&);

    void merge(Instant now, const HostRecord&, Source, MembershipActions&);
    /// A death that others report starts a suspicion here first, or halves that join again would take each other's
    /// old verdicts for true before the accused can refute them.
    [[nodiscard]] HostRecord softened(HostRecord, Source) const;
    void mergeSelf(const HostRecord&);
    void trackSuspicion(Instant now, const HostRecord* before, const HostRecord& after);
    void noteConfigVersion(ConfigVersion, const HostName& holder, MembershipActions&);
    void react(Instant now, const SocketAddress& from, const GossipDatagram&, MembershipActions&);
    void answerAck(const GossipDatagram&, MembershipActions&);
    void answerPingRequest(Instant now, const SocketAddress& from, const GossipDatagram&, MembershipActions&);
    void answerDigest(Instant now, const SocketAddress& from, const GossipDatagram&, MembershipActions&);

    [[nodiscard]] GossipDatagram datagramOf(GossipKind) const;
    void send(const SocketAddress& to, const HostName& toName, const GossipDatagram& head, MembershipActions&);
    void sendDigest(Instant now, const SocketAddress& to, const HostName& toName, MembershipActions&);
    void addNews(GossipWriter&, const HostName& recipient);
    void emit(const SocketAddress& to, const GossipWriter&, MembershipActions&);
    [[nodiscard]] std::vector<HostRecord> randomLive(std::size_t count, const HostName& except, RandomEngine&) const;
    [[nodiscard]] std::size_t newsRepeats() const;
    [[nodiscard]] std::vector<SocketAddress> unreachedAddresses() const;

    MembershipSettings m_settings;
    HostRecord m_self;
    HostTable m_table;
    NewsQueue m_news;
    Prober m_prober;
    std::map<HostName, Instant> m_suspicionEnds;
    /// Addresses of the platform's list.
    std::vector<SocketAddress> m_listed;
    ConfigVersion m_highestVersion;
    HostName m_highestVersionHost;
    /// Rounds of news still owed to the highest version.
    std::size_t m_versionRounds { 0 };
    std::optional<Instant> m_lastCall;
    bool m_started { false };
    Instant m_nextGossip;
    Instant m_nextSync;
    Instant m_nextReconnect;
    MembershipCounters m_counters;
};

} // namespace Auburnpost::Member
