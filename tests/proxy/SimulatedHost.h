#pragma once

#include "proxy/FakeTarget.h"
#include "proxy/HandlingDelays.h"
#include "proxy/Proxy.h"

#include <memory>

namespace Auburnpost::Proxy {

class ProxySimulation;

/// A proxy in simulated time, with its connections to the fake targets.
class SimulatedHost final : public ProxyDelegate, private RowReader {
public:
    /// @param start number of hosts that were started again before this one; 0 for those that run from the start.
    SimulatedHost(ProxySimulation&, std::size_t index, std::uint64_t seed, std::size_t start = 0);

    [[nodiscard]] Proxy& proxy() { return *m_proxy; }
    /// Pauses the host, as if the process was suspended.
    void pause(Instant until) { m_pausedUntil = until; }
    /// Handles a statement of a caller once this host gets to it.
    void receiveStatement(SessionId, const Session::StatementId&, const Session::Statement&);
    /// Lets events wait for this host from now on, as for a busy process.
    void delayHandling(std::uint64_t seed) { m_delays.emplace(seed); }
    /// Loses the calls that follow the table of the targets, so that the list of this host grows old.
    void keepList(Instant until) { m_listKeptUntil = until; }
    /// @return whether the host does nothing, because it is paused or was killed.
    [[nodiscard]] bool isPaused() const;
    [[nodiscard]] bool isKilled() const { return m_isKilled; }
    /// Ends the process: closes all connections and handles nothing from now on.
    void kill();
    /// Breaks the connections that another host relays.
    void loseConnectionsVia(std::size_t host);
    /// @return how the proxy ended the session: "refused", "closed", or empty if it did not.
    [[nodiscard]] std::string endingOf(SessionId id) const { return m_endings.contains(id) ? m_endings.at(id) : ""; }

    void acceptSession(SessionId) override;
    void refuseSession(SessionId, const Session::Failure&) override;
    void answer(SessionId, const Session::Answer&) override;
    void forwardSession(SessionId, const SessionRequest&, const HostEntry&) override { }
    void stateRoute(SessionId, const StatedRoute&) override { }
    void stateVersion(SessionId, ConfigVersion) override { }
    void endForwardedSession(SessionId) override { }
    void closeSession(SessionId id) override { m_endings[id] = "closed"; }
    void openConnection(
        ConnectionId, const TargetRecord&, const OrganisationName&, const std::optional<SocketAddress>& relay) override;
    void closeConnection(ConnectionId) override;
    void send(ConnectionId, const std::vector<TargetRequest>&) override;
    void readTable(StoreTable, const std::string& fromKey, Duration timeout, StoreCallSlot) override;
    void followTable(StoreTable, RowVersion after, Duration wait, Duration timeout, StoreCallSlot) override;
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable, StoreCallSlot) override;
    void answerFeed(RequestId, const std::optional<FeedPage>&) override { }
    void writeHost(const HostName&, const std::string& value) override;
    void readLease(const GroupName&) override;
    void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) override;
    void readMembers(const GroupName&, const std::string& fromKey) override;
    void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) override;
    void queryPeer(const SocketAddress&) override;
    /// Never answered, as the configuration of these schedules does not change.
    void queryVersion(const SocketAddress&, ConfigVersion, Duration) override { }
    void sendDatagram(const SocketAddress&, std::string_view) override { }
    /// Prints the record if PROXY_TRACE is set.
    void log(const LogRecord&) override;
    void measure(std::string_view, double) override { }

private:
    struct HostConnection {
        TargetName target;
        /// Key of the connection in FakeTarget::connections, unique across all hosts.
        std::uint64_t id { 0 };
        /// Index of the host whose network path to the target is used.
        std::size_t viaHost { 0 };
        /// When the target finishes the last request sent; requests run one after another.
        Instant busyUntil;
        /// Whether replies no longer arrive, because a message on the connection was lost.
        bool isStuck { false };
        /// Whether a commit waits for replicas; later requests wait in `waiting`.
        bool isCommitting { false };
        std::vector<TargetRequest> waiting;
    };

    void tick();
    void answerLeaseWrite(const GroupName&, const std::optional<RowVersion>& version, Instant sentAt);
    void sendPromotion(const GroupName&, const TargetName&, RowVersion token);
    void connect(ConnectionId);
    /// Runs a task on this host after one hop and the time that its event waits for the host.
    void deliver(std::function<void()> task, const EventStream& = {});
    /// Runs a task on this host when the host gets to its event.
    void handle(std::function<void()> task, const EventStream&);
    /// Runs a task on this host, or when the host's pause ends.
    void runUnlessPaused(const std::function<void()>& task);
    /// Runs a task on this host after the store's delay, or with the failure of the call at its timeout if the call or
    /// its answer is lost.
    void deliverFromStore(Instant sentAt, Duration timeout, const std::function<void(bool isAnswered)>& task);
    /// Notes a call in a slot. @return its number.
    std::uint64_t startTableCall(StoreTable, StoreCallSlot);
    /// @return whether the host gets no news of the table.
    [[nodiscard]] bool keepsList(StoreTable) const;
    [[nodiscard]] bool updateStuck(HostConnection&) const;
    void handleRequest(ConnectionId, const TargetRequest&);
    void handleCommitted(ConnectionId, const TargetName&);
    void reply(ConnectionId, TargetReply);
    TargetReply run(FakeTarget&, FakeTargetConnection&, const TargetRequest&);
    std::optional<TargetReply> runStatement(ConnectionId, FakeTarget&, FakeTargetConnection&, const RunStatement&);
    std::optional<TargetReply> commitWrites(
        ConnectionId, FakeTarget&, FakeTargetConnection&, std::vector<std::string> writes);
    void checkStatement(const FakeTarget&, const FakeTargetConnection&, const RunStatement&);
    StorePage page(StoreTable) const;
    StorePage changes(StoreTable, RowVersion after) const;
    [[nodiscard]] Expected<std::optional<Catalog>> readCatalog(const StoreRow&) const override;
    [[nodiscard]] Expected<TargetRecord> readTarget(const StoreRow&) const override;

    ProxySimulation& m_simulation;
    std::size_t m_index;
    std::size_t m_start;
    std::unique_ptr<Proxy> m_proxy;
    /// The last call in each slot; 0 once it was cancelled.
    std::map<std::pair<StoreTable, StoreCallSlot>, std::uint64_t> m_tableCalls;
    std::uint64_t m_lastTableCall { 0 };
    std::map<ConnectionId, HostConnection> m_connections;
    std::map<SessionId, std::string> m_endings;
    std::optional<HandlingDelays> m_delays;
    Instant m_listKeptUntil {};
    std::optional<Instant> m_pausedUntil;
    bool m_isKilled { false };
};

} // namespace Auburnpost::Proxy
