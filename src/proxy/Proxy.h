#pragma once

#include "proxy/CallerSession.h"
#include "proxy/GroupHomes.h"
#include "proxy/GroupService.h"
#include "proxy/HostDirectory.h"
#include "proxy/ProxyActions.h"
#include "proxy/ProxySettings.h"
#include "proxy/RowReader.h"
#include "proxy/TargetDirectory.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace Auburnpost::Proxy {

/// The proxy of one host: callers' sessions on pooled connections to targets. It has no clock and no socket; every
/// event comes with the present time, and what is to be done goes to the ProxyActions.
class Proxy final : private GroupActions {
public:
    static constexpr Duration tickInterval = std::chrono::milliseconds(30);
    /// A gap between two ticks from which on this host counts as having been paused.
    static constexpr Duration pauseLimit = std::chrono::milliseconds(300);
    /// A session that opens before any configuration is known waits for so long; callers give up after 2 s.
    static constexpr Duration acceptLimit = std::chrono::milliseconds(1500);
    /// A host goes on watching a group's targets for so long after its last session on it.
    static constexpr Duration groupLinger = std::chrono::seconds(10);
    /// Peers are asked once the store has not answered for so long, and again at this interval.
    static constexpr Duration peerDelay = std::chrono::milliseconds(400);
    static constexpr Duration peerInterval = std::chrono::milliseconds(700);

    Proxy(Instant now, ProxySettings, const RowReader&, ProxyActions&, RandomEngine::result_type seed);

    void tick(Instant now);

    // Callers.
    /// @param isForwarded whether another host passed the session on.
    void sessionOpened(Instant now, SessionId, const DatabaseName&, bool isForwarded = false);
    /// The host that a session was passed on to did not take it; another is tried.
    void forwardFailed(Instant now, SessionId, const DatabaseName&, const HostName&);
    /// The host that a session was passed on to is gone.
    void forwardLost(Instant now, const HostName& host) { m_homes.failed(now, host); }
    void statementArrived(Instant now, SessionId, const Session::StatementId&, const Session::Statement&);
    /// A statement arrived that can't be read.
    void malformedArrived(Instant now, SessionId, const Session::Failure&);
    void sessionClosed(Instant now, SessionId);

    // Targets.
    void connectionOpened(Instant now, ConnectionId, const std::optional<LogPoint>& position);
    void connectionRefused(Instant now, ConnectionId, Session::FailureCode);
    void connectionLost(Instant now, ConnectionId);
    void replied(Instant now, ConnectionId, const TargetReply&);

    // The platform.
    void tableRead(Instant now, StoreTable, const Expected<StorePage>&);
    void tableFollowed(Instant now, StoreTable, const Expected<StorePage>&);
    void claimRead(Instant now, const GroupName&, const Expected<ClaimRow>&);
    void claimWritten(Instant now, const GroupName&, const Expected<std::optional<RowVersion>>&);
    void promoteAnswered(Instant now, const GroupName&, PromotionOutcome);

    void hostWritten(bool isAcknowledged) { m_hosts.written(isAcknowledged); }

    // Peers.
    /// @return whether this host reaches the target by itself, so that it can relay for a peer.
    [[nodiscard]] bool mayRelay(Instant now, const TargetName&) const;
    void peerAnswered(Instant now, const SocketAddress&, const Expected<TableStates>&);
    [[nodiscard]] TableStates tables() const;

    void setSeeds(std::vector<SocketAddress> seeds) { m_settings.seeds = std::move(seeds); }

    // Leaving.
    /// Closes each session as soon as it is idle, now and from here on.
    void closeIdleSessions();
    /// Rolls back open transactions between two statements.
    void endTransactions(Instant now);
    [[nodiscard]] bool hasSession(SessionId id) const { return m_sessions.contains(id); }
    [[nodiscard]] std::size_t sessions() const { return m_sessions.size(); }
    /// @return how many statements are being served.
    [[nodiscard]] std::size_t statements() const;

    /// @return whether callers can be served.
    [[nodiscard]] bool isReady() const;
    /// @return the whole state, for people.
    [[nodiscard]] std::string dump(Instant now) const;

private:
    // GroupActions.
    void openConnection(ConnectionId, const TargetRecord&, const std::optional<SocketAddress>& relay) override;
    void closeConnection(ConnectionId) override;
    void send(ConnectionId, const std::vector<TargetRequest>&) override;
    void readClaim(const GroupName&) override;
    void writeClaim(const GroupName&, const Claim&, RowVersion expected) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void finished(const WorkResult&) override;
    void transactionLost(SessionId) override;
    void log(const LogRecord&) override;
    ConnectionId nextConnectionId() override;
    RandomEngine& random() override { return m_random; }
    [[nodiscard]] const std::vector<SocketAddress>& relays() const override { return m_hosts.relays(); }

    // Sessions.
    void decideOpening(CallerSession&);
    /// @return the host to pass the session on to; empty when this host serves it.
    [[nodiscard]] std::optional<HostEntry> homeOf(const CallerSession&, const Route&);
    void forward(const CallerSession&, const HostEntry&);
    void serve(Instant now, CallerSession&, const Session::Statement&);
    [[nodiscard]] Work makeWork(Instant now, const CallerSession&, const Session::Statement&, const Route&);
    void answerNow(CallerSession&, const Session::Answer&);
    void endTransaction(Instant now, CallerSession&);
    void closeIfIdle(SessionId);
    [[nodiscard]] CallerSession* findSession(SessionId);
    [[nodiscard]] const Route* findRoute(const DatabaseName&) const;
    [[nodiscard]] GroupService* findGroup(const GroupName&);
    [[nodiscard]] GroupService* ownerOf(ConnectionId);
    void logServed(const CallerSession&, const WorkResult&, Duration taken);

    // Configuration and targets.
    void tableChanged(Instant now, StoreTable);
    void applyCatalog(Instant now);
    void applyTargets(Instant now);
    void applyMembers(Instant now);
    /// Watches the targets of the groups that this host serves, and of no others.
    void applyHomes(Instant now);
    [[nodiscard]] bool serves(Instant now, const GroupName&) const;
    void logChanges(const TargetDirectory::Changes&);
    void noteStore(Instant now, StoreTable, bool wasConnected, const Expected<StorePage>&);
    void askPeers(Instant now);
    [[nodiscard]] StoreFollower& follower(StoreTable table) { return m_followers[static_cast<std::size_t>(table)]; }

    ProxySettings m_settings;
    const RowReader& m_reader;
    ProxyActions& m_actions;
    RandomEngine m_random;
    /// The time of the event that is being handled.
    Instant m_now;
    Instant m_tickedAt;
    std::array<StoreFollower, storeTables.size()> m_followers;
    std::optional<Catalog> m_catalog;
    TargetDirectory m_directory;
    HostDirectory m_hosts;
    GroupHomes m_homes;
    /// When a session on the group was last here.
    std::map<GroupName, Instant> m_usedAt;
    std::set<GroupName> m_served;
    std::map<GroupName, std::unique_ptr<GroupService>> m_groups;
    std::unordered_map<SessionId, CallerSession> m_sessions;
    std::uint64_t m_lastConnection { 0 };
    std::uint64_t m_lastWork { 0 };
    std::size_t m_lastSeed { 0 };
    Instant m_peerAskedAt {};
    bool m_isClosingIdle { false };
};

} // namespace Auburnpost::Proxy
