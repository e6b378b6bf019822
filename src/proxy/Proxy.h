#pragma once

#include "proxy/AllotmentService.h"
#include "proxy/CallerSession.h"
#include "proxy/CopyAge.h"
#include "proxy/FeederChoice.h"
#include "proxy/GroupHomes.h"
#include "proxy/GroupService.h"
#include "proxy/HostDirectory.h"
#include "proxy/PermitQueue.h"
#include "proxy/ProxyDelegate.h"
#include "proxy/ProxySettings.h"
#include "proxy/RowReader.h"
#include "proxy/StoreFollower.h"
#include "proxy/TableFeed.h"
#include "proxy/TargetDirectory.h"
#include "proxy/VersionExchange.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace Auburnpost::Proxy {

/// The proxy of one host: serves callers' sessions on pooled connections to targets. It has no clock and no sockets:
/// each event is passed in with the current time, and all I/O goes through ProxyDelegate.
class Proxy final : private GroupServiceDelegate {
public:
    static constexpr Duration tickInterval = std::chrono::milliseconds(30);
    /// Time from the start of this process for which a group counts as starting with the deployment.
    static constexpr Duration firstStartPeriod = std::chrono::seconds(5);
    /// Minimum gap between two events, ticks included, that counts as a pause of this process.
    static constexpr Duration pauseThreshold = std::chrono::milliseconds(300);
    /// Maximum time that a session waits for the first configuration; callers time out after 2 s.
    static constexpr Duration acceptTimeout = std::chrono::milliseconds(1500);
    /// Maximum time for which a statement waits until this host's configuration is as new as that of the host that
    /// forwards the session.
    static constexpr Duration maxRouteWait = std::chrono::milliseconds(300);
    /// The same for a session to be opened; below the time after which the forwarding host gives up, as it would then
    /// avoid this host for all groups.
    static constexpr Duration maxOpenWait = std::chrono::milliseconds(200);
    /// Time after which a newer configuration is requested from the host that has it. It usually arrives from the store
    /// before.
    static constexpr Duration versionQueryDelay = std::chrono::milliseconds(60);
    /// Time within which another host answers a query for its tables.
    static constexpr Duration peerAnswerTimeout = std::chrono::milliseconds(600);
    /// Time for which a host keeps watching a group's targets after its last session on the group.
    static constexpr Duration groupLinger = std::chrono::seconds(10);
    /// Peers are queried while a table has not been read yet, and once calls to the store have failed for peerDelay; in
    /// both cases at intervals of peerQueryInterval.
    /// Where the store states an era, a host that starts queries as many peers: the store's copy may be older than the
    /// configuration that others apply, and some of these hosts may have started as well.
    static constexpr std::size_t startPeers = 3;
    static constexpr Duration peerDelay = std::chrono::milliseconds(400);
    static constexpr Duration peerQueryInterval = std::chrono::milliseconds(700);

    Proxy(Instant now, ProxySettings, const RowReader&, ProxyDelegate&, RandomEngine::result_type seed);

    void tick(Instant now);

    // Callers.
    void sessionOpened(Instant now, SessionId, const SessionRequest&);
    /// A session could not be forwarded to the host; opens it again so that another host or this one serves it.
    /// @param isRefused whether the host was reached and refused the session.
    void forwardFailed(Instant now, SessionId, const HostName&, bool isRefused = false);
    /// The connection to a host that sessions were forwarded to was lost.
    void forwardLost(Instant now, const HostName& host) { m_homes.recordFailure(now, host); }
    void statementArrived(Instant now, SessionId, const Session::StatementId&, const Session::Statement&);
    /// Sends the failure as the answer to a statement that could not be parsed.
    void malformedStatementArrived(Instant now, SessionId, const Session::Failure&);
    /// A statement arrived on a session that another host serves, outside a transaction. Refuses it, or states a route
    /// that has changed to the other host.
    /// @return whether the statement is to be forwarded.
    [[nodiscard]] bool forwardedStatementArrived(
        Instant now, SessionId, const Session::StatementId&, const Session::Statement&);
    /// The host that forwards a session states its route, before the next statement.
    void routeStated(Instant now, SessionId, const StatedRoute&);
    /// The host that serves a forwarded session states that it routes it by a newer configuration than this host's. As
    /// the caller may see the effect, this host routes nothing until it has that version, for maxRouteWait at most.
    void versionStated(Instant now, const HostName&, ConfigVersion);
    void sessionClosed(Instant now, SessionId);

    // Targets.
    void connectionOpened(Instant now, ConnectionId, const std::optional<LogPoint>& position);
    void connectionRefused(Instant now, ConnectionId, Session::FailureCode);
    void connectionLost(Instant now, ConnectionId);
    void replied(Instant now, ConnectionId, const TargetReply&);

    // The platform.
    void tableRead(Instant now, StoreTable, const Expected<StorePage>&, StoreCallSlot = StoreCallSlot::First);
    void tableFollowed(Instant now, StoreTable, const Expected<StorePage>&, StoreCallSlot = StoreCallSlot::First);
    void leaseRead(Instant now, const GroupName&, const Expected<PromotionLeaseRow>&);
    void leaseWritten(Instant now, const GroupName&, const Expected<std::optional<RowVersion>>&);
    void membersRead(Instant now, const GroupName&, const Expected<StorePage>&);
    void promoteAnswered(Instant now, const GroupName&, PromotionOutcome);

    // Feeds of the followed tables between hosts.
    void feederAnswered(Instant now, const SocketAddress& feeder, StoreTable, const Expected<FeedPage>&,
        StoreCallSlot = StoreCallSlot::First);
    /// Another host requests the changes of a table; ProxyDelegate::answerFeed() follows.
    /// @param wait how long the answer may wait for a change.
    void feedRequested(Instant now, RequestId, StoreTable, RowVersion after, Duration wait);
    /// Refuses the waiting and all further requests of other hosts for tables, as this host shuts down.
    void stopFeeding();

    void hostWritten(bool isAcknowledged) { m_hosts.recordWritten(isAcknowledged); }

    // Peers.
    /// @return whether this host reaches the target directly, so that it can relay for a peer.
    [[nodiscard]] bool mayRelay(Instant now, const TargetName&) const;
    void peerAnswered(Instant now, const SocketAddress&, const Expected<TableStates>&);
    [[nodiscard]] TableStates tables() const;
    /// @return the age of this host's copy of a table; empty if the store never confirmed it.
    [[nodiscard]] std::optional<Duration> copyAge(Instant now, StoreTable) const;
    /// @return the largest age that this host's copy of a table has had.
    [[nodiscard]] Duration largestCopyAge(StoreTable table) const
    {
        return m_copyAges[static_cast<std::size_t>(table)].largest();
    }

    /// @return whether the host exchanges datagrams with others.
    [[nodiscard]] bool usesDatagrams() const { return m_allotments && m_allotments->isEnabled(); }
    void datagramReceived(Instant now, const SocketAddress& from, std::string_view datagram);

    /// Another host states the version of its configuration, and asks for this host's.
    /// @return the version of this host's configuration; 0 if there is none.
    [[nodiscard]] ConfigVersion versionQueried(Instant now, const HostName& from, ConfigVersion theirs);
    /// A host that was asked states the version of its configuration, or did not answer.
    void versionAnswered(Instant now, const SocketAddress& partner, const Expected<ConfigVersion>& theirs);
    /// @return the time since another host last stated a version that is not newer than this host's.
    [[nodiscard]] std::optional<Duration> versionAge(Instant now) const;

    /// @return how long the group that has been longest without a usable primary has had none; zero if each has one.
    [[nodiscard]] Duration longestPrimaryAbsence(Instant now) const;

    void setSeeds(std::vector<SocketAddress> seeds);
    void setBounds(const TimeBounds&);

    // Leaving.
    /// Closes all idle sessions, and from now on each session as soon as it becomes idle.
    void closeIdleSessions();
    /// Rolls back the open transactions that have no statement in progress, and closes their sessions.
    void endIdleTransactions(Instant now);
    [[nodiscard]] bool hasSession(SessionId id) const { return m_sessions.contains(id); }
    [[nodiscard]] std::size_t sessions() const { return m_sessions.size(); }
    /// @return the number of statements in progress.
    [[nodiscard]] std::size_t statements() const;

    /// @return whether callers can be served: a configuration and at least one target are known.
    [[nodiscard]] bool isReady() const;
    /// @return the state as JSON, for operators.
    [[nodiscard]] std::string dump(Instant now) const;

private:
    // GroupServiceDelegate.
    void openConnection(
        ConnectionId, const TargetRecord&, const OrganisationName&, const std::optional<SocketAddress>& relay) override;
    void closeConnection(ConnectionId) override;
    void send(ConnectionId, const std::vector<TargetRequest>&) override;
    void readLease(const GroupName&) override;
    void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) override;
    void readMembers(const GroupName&) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void statementFinished(const StatementResult&) override;
    void transactionLost(SessionId) override;
    void log(const LogRecord&) override;
    void measure(std::string_view series, double sample) override;
    ConnectionId nextConnectionId() override;
    RandomEngine& random() override { return m_random; }
    [[nodiscard]] const std::vector<SocketAddress>& relays() const override { return m_hosts.relays(); }

    /// Starts the handling of an event. An event that was waiting at the end of a pause may precede the first tick.
    void beginEvent(Instant now);

    // Sessions.
    void routeSession(CallerSession&);
    /// @return the host to forward the session to; empty when this host serves it.
    [[nodiscard]] std::optional<HostEntry> homeForSession(const CallerSession&, const Route&);
    void forward(const CallerSession&, const HostEntry&);
    /// @param forwarded the organisation that another host found for the session; empty unless it is forwarded.
    /// @return the organisation under whose name the caller is served, empty without organisations; nothing if the
    /// caller's key gives no access.
    [[nodiscard]] std::optional<OrganisationName> authorise(
        const std::optional<Config::KeyDigest>&, const Route&, const std::optional<OrganisationName>& forwarded) const;
    [[nodiscard]] std::optional<OrganisationName> authorise(const CallerSession&, const Route&) const;
    /// @return whether this host routes the session as the host that forwards it, or by a configuration that is not
    /// older. True for sessions of this host's own callers.
    [[nodiscard]] bool isRoutedAlike(const CallerSession&) const;
    /// @return whether nothing is routed until a newer configuration arrives.
    [[nodiscard]] bool isAwaitingVersion() const;
    /// A version that another host stated.
    struct NewerVersion {
        ConfigVersion version;
        /// The name of the host, or its address.
        std::string host;
        /// Address at which the host answers other hosts; empty if its record has it.
        std::optional<SocketAddress> address {};
        Instant statedAt {};
        /// When the configuration was requested from that host.
        std::optional<Instant> queriedAt {};
    };

    void recordNewerVersion(NewerVersion);
    /// Requests the newer configuration from the host that has it, unless it has come by itself.
    void queryNewerVersion(Instant now);
    [[nodiscard]] std::optional<SocketAddress> peersAddressOf(const NewerVersion&) const;
    /// Asks another host for the version of its configuration if a question is due.
    void exchangeVersions(Instant now);
    /// @return the version of the applied configuration; 0 if there is none.
    [[nodiscard]] ConfigVersion appliedVersion() const;
    /// States the version of this host's configuration to the host that forwards the session if it is newer.
    void stateVersion(CallerSession&);
    /// Serves the held statements whose route is now known, and refuses those that have waited for too long.
    void serveHeldStatements(Instant now);
    /// Refuses a session that is not open yet. A forwarded one is closed, so that the other host serves it otherwise.
    void refuseOpening(const CallerSession&, const Session::Failure&);
    /// Ends the sessions whose key was removed from the configuration or is now another organisation's.
    void endRevokedSessions(Instant now);
    void endRevokedSession(Instant now, SessionId);
    void logRevocation(SessionId, const OrganisationName&);
    void routeStatement(Instant now, CallerSession&, const Session::Statement&);
    /// @param hasPermit whether the operation has a permit of the organisation's rate limit.
    void serveStatement(Instant now, CallerSession&, const Session::Statement&, bool hasPermit = false);
    /// Takes a permit of the organisation's rate limit for an operation. Without one the operation waits for it, or is
    /// refused. @return whether there was one, or none is needed.
    bool takePermit(Instant now, CallerSession&, const Session::Statement&);
    void refuseOverLimit(Instant now, CallerSession&, Duration retryAfter);
    /// Serves the operations that have got a permit, and refuses those that have waited for too long.
    void serveWaitingOperations(Instant now);
    [[nodiscard]] PendingStatement makePendingStatement(
        Instant now, const CallerSession&, const Session::Statement&, const Route&);
    void sendAnswer(CallerSession&, const Session::Answer&);
    void endTransaction(Instant now, CallerSession&);
    void closeIfIdle(SessionId);
    [[nodiscard]] CallerSession* findSession(SessionId);
    [[nodiscard]] const Route* findRoute(const DatabaseName&) const;
    [[nodiscard]] GroupService* findGroup(const GroupName&);
    [[nodiscard]] GroupService* groupOwning(ConnectionId);
    void logStatement(const CallerSession&, const StatementResult&, Duration elapsed);
    /// Logs and answers a statement that is not submitted to a group.
    void refuse(CallerSession&, const Session::Failure&, Session::TransactionState);
    /// Appends what this host knows of the age of its configuration: since when it applies it, how long ago the store
    /// confirmed it and another host agreed, and the state of its calls.
    void appendConfigurationAge(std::vector<LogField>&) const;
    /// Appends the same, and the host that forwards the session.
    void appendConfigurationAge(std::vector<LogField>&, const CallerSession&) const;

    // Configuration and targets.
    void tableChanged(Instant now, StoreTable);
    void adoptCatalog(Instant now);
    /// Applies the configuration in a peer's copy if it is newer by its own version, whatever the copy's version is:
    /// the store may have come back from a copy that lacks it.
    void adoptPeersCatalog(Instant now, const TableState&);
    /// @return whether the configuration is newer than the one applied, and now applies.
    bool applyCatalog(Instant now, const StoreRow&, Catalog);
    void catalogChanged(Instant now);
    /// @return this host's copy of a table, with the row of the applied configuration if that of the store is older.
    [[nodiscard]] TableState tableForPeers(StoreTable) const;
    void updateTargets(Instant now);
    void updateGroupMembers(Instant now);
    /// Tells the groups where the list of targets came from.
    void updateListOrigin();
    /// Determines the groups that this host serves, and watches the targets of these groups only.
    void updateServedGroups(Instant now);
    [[nodiscard]] bool servesGroup(Instant now, const GroupName&) const;
    void logTargetChanges(const TargetDirectory::Changes&);
    /// The calls for a table before one of them ended.
    struct CallsBefore {
        StoreFollower::CallHistory history;
        StoreFollower::Call ended;
        StoreFollower::Call other;
    };

    [[nodiscard]] CallsBefore callsBefore(StoreTable, StoreCallSlot ended);
    /// Logs a failed call, and a success that follows failed ones.
    /// @param failure why the call failed; empty if it succeeded.
    void logStoreCall(Instant, StoreTable, const CallsBefore&, const std::optional<Error>& failure);
    void logFailedCall(
        Instant, StoreTable, const StoreFollower::Call&, const StoreFollower::CallHistory& before, const Error&);
    /// Observes the age of the copy of a table, and logs one that exceeds half of its bound while calls fail, or its
    /// bound.
    void reportCopyAge(Instant, StoreTable);
    /// Notes the era of the store that an answer states.
    void recordEra(StoreTable, const RowVersion& asOf);
    void queryPeers(Instant now);
    [[nodiscard]] std::optional<SocketAddress> nextPeer();
    /// Decides from whom the tables are followed.
    void updateFeeders(Instant now);
    /// Adapts the times of the followed tables to the bounds and to the number of hops.
    void updateTableTimes();
    /// Answers the waiting requests for tables that are due.
    void answerFeeds(Instant now);
    /// @return the answer to a request; empty if this host's copy is too old to be passed on.
    [[nodiscard]] std::optional<FeedPage> feedPage(Instant now, StoreTable, RowVersion after) const;
    [[nodiscard]] StoreFollower& follower(StoreTable table) { return m_followers[static_cast<std::size_t>(table)]; }

    ProxySettings m_settings;
    const RowReader& m_reader;
    ProxyDelegate& m_delegate;
    RandomEngine m_random;
    /// Time of the event that is being handled, or of the last one.
    Instant m_startedAt;
    Instant m_now;
    StoreContact m_contact;
    std::array<StoreFollower, followedTables.size()> m_followers;
    std::array<CopyAge, followedTables.size()> m_copyAges;
    std::optional<Catalog> m_catalog;
    Instant m_catalogAppliedAt {};
    /// The row from which the applied configuration was read.
    StoreRow m_appliedRow;
    NewerVersion m_newerVersion;
    VersionExchange m_versionExchange;
    /// When another host last stated a version that is not newer than this host's.
    std::optional<Instant> m_versionAgreedAt;
    /// The newest version by which another host has served a caller of this one.
    ConfigVersion m_servedVersion;
    Instant m_servedVersionStatedAt {};
    /// Whether the store's table has an older configuration than the applied one.
    bool m_isOlderCatalogListed { false };
    /// The latest era of the store that an answer stated.
    StoreEra m_storeEra;
    TargetDirectory m_directory;
    /// The pages received so far by the reads of the targets' table on behalf of groups.
    std::map<GroupName, TableState> m_memberReads;
    /// Why each invalid target record was refused, by its key, so that each problem is logged once.
    std::map<std::string, std::string> m_invalidRecords;
    HostDirectory m_hosts;
    /// Empty if rate limits are not enforced.
    std::optional<AllotmentService> m_allotments;
    GroupHomes m_homes;
    PermitQueue m_permitQueue;
    FeederChoice m_feeders;
    TableFeed m_feed;
    /// Whether the tables are followed in two hops, from the store to feeders and from these to the other hosts.
    bool m_usesFeeders { false };
    /// The host at which the tables are followed; empty while they are followed at the store.
    std::optional<SocketAddress> m_feeder;
    bool m_isFeedingStopped { false };
    /// When this host last had a session on the group.
    std::map<GroupName, Instant> m_groupUsedAt;
    std::set<GroupName> m_servedGroups;
    std::map<GroupName, std::unique_ptr<GroupService>> m_groups;
    std::unordered_map<SessionId, CallerSession> m_sessions;
    struct ForwardedSession {
        SessionRequest request;
        /// Whether the other host reads the routes that are stated.
        bool hostReadsRoutes { false };
    };

    /// The sessions of this host's callers that other hosts serve.
    std::unordered_map<SessionId, ForwardedSession> m_forwardedSessions;
    std::uint64_t m_lastConnection { 0 };
    std::uint64_t m_lastStatement { 0 };
    /// Index in m_settings.seeds of the peer that was queried last.
    std::size_t m_lastSeed { 0 };
    bool m_wasSeedQueried { false };
    /// Answers of peers since the start.
    std::size_t m_peerAnswers { 0 };
    Instant m_peerQueriedAt {};
    bool m_isClosingIdleSessions { false };
};

} // namespace Auburnpost::Proxy
