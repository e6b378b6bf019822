#pragma once

#include "proxy/CallFault.h"
#include "proxy/ConfigurationChecker.h"
#include "proxy/Proxy.h"
#include "proxy/SimulatedConnections.h"

#include <functional>
#include <map>
#include <memory>

namespace Auburnpost::Proxy {

class ConfigurationSimulation;

/// A proxy in simulated time, with its calls to the store, its connections to targets and the sessions that it
/// forwards to other hosts.
class ConfigurationHost final : public ProxyDelegate, private RowReader {
public:
    /// The port of the first host at which it answers other hosts; further hosts have the ports after it.
    static constexpr std::uint16_t peerPort = 300;

    ConfigurationHost(ConfigurationSimulation&, std::size_t index, std::uint64_t seed);

    [[nodiscard]] std::size_t index() const { return m_index; }
    [[nodiscard]] bool isKilled() const { return m_isKilled; }
    /// Ends the process and its connections.
    void kill();
    /// Runs nothing until the given time. Messages that arrive until then are handled at its end, before the next tick,
    /// and before or after the timeouts that passed.
    void pause(Instant until);
    /// Handles a message that arrives at this host after a delay.
    void deliver(Duration delay, std::function<void()> task);

    // Callers.
    void openSession(SessionId, const DatabaseName&);
    void sendStatement(SessionId, const Session::StatementId&);
    void endSession(SessionId);

    void acceptSession(SessionId) override;
    void refuseSession(SessionId, const Session::Failure&) override;
    void answer(SessionId, const Session::Answer&) override;
    void forwardSession(SessionId, const SessionRequest&, const HostEntry&) override;
    void stateRoute(SessionId, const StatedRoute&) override;
    void stateVersion(SessionId, ConfigVersion) override;
    void endForwardedSession(SessionId) override;
    void closeSession(SessionId) override;
    void openConnection(
        ConnectionId, const TargetRecord&, const OrganisationName&, const std::optional<SocketAddress>& relay) override;
    void closeConnection(ConnectionId id) override { m_connections.erase(id); }
    void send(ConnectionId, const std::vector<TargetRequest>&) override;
    void readTable(StoreTable, const std::string& fromKey, Duration timeout, StoreCallSlot) override;
    void followTable(StoreTable, RowVersion after, Duration wait, Duration timeout, StoreCallSlot) override;
    void followFeeder(
        const SocketAddress&, StoreTable, RowVersion after, Duration wait, Duration timeout, StoreCallSlot) override;
    void cancelCall(StoreTable, StoreCallSlot) override;
    void answerFeed(RequestId, const std::optional<FeedPage>&) override;
    void writeHost(const HostName&, const std::string& value) override;
    void readLease(const GroupName&) override;
    void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) override;
    void readMembers(const GroupName&, const std::string& fromKey) override;
    void promote(const GroupName&, const TargetName&, RowVersion, Instant) override { }
    void queryPeer(const SocketAddress&) override;
    void queryVersion(const SocketAddress&, ConfigVersion own, Duration timeout) override;
    void sendDatagram(const SocketAddress&, std::string_view) override { }
    /// Notes the version of the configuration, and prints the record if PROXY_TRACE is set.
    void log(const LogRecord&) override;
    void measure(std::string_view, double) override { }

private:
    /// A session of a caller of this host that another host serves.
    struct Forward {
        ConfigurationHost* home { nullptr };
        SessionId idAtHome;
        bool isAnswered { false };
        bool hasOpenRequest { false };
        /// Whether the session ends with the answer to the open request.
        bool isEnding { false };
    };
    /// A session that another host forwarded to this one.
    struct Origin {
        ConfigurationHost* host { nullptr };
        SessionId idAtHost;
    };
    using PageHandler = std::function<void(const Expected<StorePage>&)>;
    using StoreRequest = std::function<void(const std::function<void(const StorePage&)>& answer)>;

    [[nodiscard]] ConfigurationChecker::Decider decider() const { return { m_index, m_version }; }
    void tick();
    /// Runs a task on this host after a delay, for a timeout.
    void runAfter(Duration delay, std::function<void()> task);
    /// Runs a task, or keeps it while the host is paused.
    void run(std::vector<std::function<void()>>& kept, const std::function<void()>& task);
    void resume();
    /// Sends a call to the store, whose request or answer may be lost, late or refused.
    void callStore(Duration timeout, const StoreRequest&, const PageHandler&);
    void sendToStore(const StoreRequest&, const PageHandler& end);
    struct TableCall {
        StoreTable table;
        StoreCallSlot slot;
        Duration timeout;
        bool isRead { true };
        RowVersion after;
        Duration wait {};
    };

    /// Sends a call for a table. Those for the followed tables have connections of their own, and fail if they are due
    /// to fail in series.
    void callForTable(const TableCall&, const StoreRequest&, const PageHandler&);
    /// Sends a call that ends as the fault says.
    void callWithFault(CallFault, const TableCall&, const StoreRequest&, const PageHandler& end);
    /// Ends a call to a feeder as the fault says.
    /// @param withoutChanges the answer of a feeder whose table has not changed.
    void followFeederWithFault(CallFault, Duration roundTrip, const FeedPage& withoutChanges, Duration wait,
        const std::function<void(const Expected<FeedPage>&)>& end);
    /// @return the request of a call that is answered late, with what the store has when it arrives.
    [[nodiscard]] StoreRequest lateRequest(const TableCall&, const StoreRequest&);
    /// @return a function that handles the answer to a call for a table unless the call was cancelled.
    template <typename Page>
    std::function<void(const Expected<Page>&)> cancellable(
        StoreTable, StoreCallSlot, std::function<void(const Expected<Page>&)> handle);
    void runRequest(ConnectionId, const TargetRequest&);
    void forwardArrived(ConfigurationHost& origin, SessionId idAtOrigin, SessionId, const SessionRequest&);
    /// Reports to the host that forwarded the session. @return whether the session is forwarded.
    bool tellOrigin(SessionId, bool isLast, const std::function<void(ConfigurationHost&, SessionId)>& report);
    void forwardAccepted(SessionId);
    void forwardRefused(SessionId, const Session::Failure&, const ConfigurationChecker::Decider& decider);
    void forwardAnswered(SessionId, const Session::Answer&, const ConfigurationChecker::Decider& decider);
    /// The other host closed the session, or was killed.
    void forwardEnded(SessionId, bool isClosed);
    /// @param isRefused whether the other host was reached and refused the session.
    void failForward(SessionId, bool isRefused);
    void closeAtHome(const Forward&);
    /// @return a function that handles the answer to a call unless the call has ended or timed out already.
    template <typename Page>
    std::function<void(const Expected<Page>&)> startCall(
        Duration timeout, std::function<void(const Expected<Page>&)> handle);
    [[nodiscard]] Expected<std::optional<Catalog>> readCatalog(const StoreRow&) const override;
    [[nodiscard]] Expected<TargetRecord> readTarget(const StoreRow&) const override;

    ConfigurationSimulation& m_simulation;
    std::size_t m_index;
    std::unique_ptr<Proxy> m_proxy;
    SimulatedConnections m_storeConnections;
    std::uint64_t m_lastStoreCall { 0 };
    /// The last call in each slot; 0 once it was cancelled.
    std::map<std::pair<StoreTable, StoreCallSlot>, std::uint64_t> m_tableCalls;
    std::map<ConnectionId, GroupName> m_connections;
    std::map<SessionId, Forward> m_forwards;
    std::map<SessionId, Origin> m_origins;
    /// Sends the answers to other hosts' requests for tables.
    std::map<RequestId, std::function<void(const std::optional<FeedPage>&)>> m_feedRequests;
    std::uint64_t m_lastFeedRequest { 0 };
    std::optional<Instant> m_pausedUntil;
    /// What arrived, and the timeouts that passed, during the pause.
    std::vector<std::function<void()>> m_keptMessages;
    std::vector<std::function<void()>> m_keptTimeouts;
    /// The version of the configuration that the proxy reported last.
    std::size_t m_version { 0 };
    bool m_isKilled { false };
};

} // namespace Auburnpost::Proxy
