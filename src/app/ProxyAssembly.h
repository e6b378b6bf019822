#pragma once

#include "app/SessionForwarder.h"
#include "engine/Shutdown.h"
#include "platform/RowDecoder.h"
#include "platform/TargetCodec.h"
#include "proxy/DescriptorShares.h"
#include "proxy/MemoryShares.h"
#include "proxy/Proxy.h"
#include "proxy/StoreCallCounts.h"
#include "wire/GossipSocket.h"
#include "wire/HttpServer.h"
#include "wire/LineClients.h"
#include "wire/LineServer.h"
#include "wire/Metrics.h"
#include "wire/PlatformClient.h"
#include "wire/RelayServer.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

struct event;

namespace Auburnpost {

/// The proxy with its servers, clients and connections on one event loop.
class ProxyAssembly final : private Proxy::ProxyDelegate, private ShutdownDelegate {
public:
    using SettingsLoader = std::function<Expected<Proxy::ProxySettings>()>;

    ProxyAssembly(event_base*, const Proxy::ProxySettings&, SettingsLoader);
    ~ProxyAssembly() override;
    ProxyAssembly(const ProxyAssembly&) = delete;
    ProxyAssembly& operator=(const ProxyAssembly&) = delete;

    /// Listens on every address of the settings.
    /// @return nothing, or the first failure.
    Expected<void> listen();
    [[nodiscard]] int exitStatus() const { return m_exitStatus; }

private:
    using EventHandle = std::unique_ptr<event, void (*)(event*)>;
    /// A connection that the target has not accepted yet.
    struct PendingConnection {
        Proxy::TargetRecord target;
        OrganisationName organisation;
        /// Whether the connection goes through a relay that has not answered yet.
        bool awaitsRelayReply { false };
    };
    using ReplyHandler = std::function<void(const Expected<PlatformReply>&)>;

    static Instant now();
    void connectSignals();
    void watchProcessSignals();
    void onTick();
    void reload();
    void dumpState();

    // Callers.
    /// Session numbers above this value belong to sessions that other hosts forward. Sessions of this host's own
    /// callers are numbered from 1 and never reach it.
    static constexpr std::uint64_t forwardedIdBase = std::uint64_t { 1 } << 48U;

    [[nodiscard]] static Limit::ClientLimits callerLimits(std::size_t connections, std::size_t bytes, bool isForwarded);
    /// Logs and measures, once in a while, what the limits for callers' connections have done.
    void reportLimits();
    void listenForCallers(Wire::LineServer&);
    void connectForwarder();
    static Proxy::SessionId sessionOf(Wire::AcceptedConnectionId);
    static Wire::AcceptedConnectionId clientOf(Proxy::SessionId);
    /// @return the server to which the session's connection belongs.
    [[nodiscard]] Wire::LineServer& serverOf(Proxy::SessionId);
    void onCallerLine(Wire::AcceptedConnectionId, std::string_view line);
    void onSessionLine(Proxy::SessionId, std::string_view line);
    /// Handles a line of a caller whose session another host serves.
    void onForwardedLine(Proxy::SessionId, std::string_view line);
    void onCallerEnded(Wire::AcceptedConnectionId, Wire::DisconnectReason);
    void acceptSession(Proxy::SessionId) override;
    void forwardSession(Proxy::SessionId, const Proxy::SessionRequest&, const Proxy::HostEntry&) override;
    void stateRoute(Proxy::SessionId, const Proxy::StatedRoute&) override;
    void stateVersion(Proxy::SessionId, ConfigVersion) override;
    void endForwardedSession(Proxy::SessionId) override;
    void onForwardFailed(Proxy::SessionId, const DatabaseName&, const HostName&, bool isRefused);
    void onForwardEnded(Proxy::SessionId, const DatabaseName&, const HostName&, bool hasOpenRequest);
    void refuseSession(Proxy::SessionId, const Session::Failure&) override;
    /// Refuses a message, and with it a session that is not open.
    void refuseMessage(Proxy::SessionId, const Session::Failure&);
    void answer(Proxy::SessionId, const Session::Answer&) override;
    void closeSession(Proxy::SessionId) override;

    // Targets.
    void onTargetLine(ConnectionId, std::string_view line);
    void onRelayLine(ConnectionId, PendingConnection&, std::string_view line);
    void onTargetEnded(ConnectionId, Wire::DisconnectReason);
    void openConnection(ConnectionId, const Proxy::TargetRecord&, const OrganisationName&,
        const std::optional<SocketAddress>& relay) override;
    void closeConnection(ConnectionId) override;
    void send(ConnectionId, const std::vector<Proxy::TargetRequest>&) override;

    // The platform and peers.
    [[nodiscard]] static Wire::PlatformClientLimits clientLimits(
        const Proxy::ProxySettings&, std::size_t connections, std::size_t urgentConnections = 0);
    /// @return the id of the call.
    PlatformCallId call(Wire::PlatformClient&, PlatformCall, ReplyHandler);
    /// Calls the store for a table. The calls for the followed tables are urgent.
    void callForTable(Proxy::StoreTable, Proxy::StoreCallSlot, PlatformCall, ReplyHandler);
    void readTable(Proxy::StoreTable, const std::string& fromKey, Duration timeout, Proxy::StoreCallSlot) override;
    void followTable(
        Proxy::StoreTable, Proxy::RowVersion after, Duration wait, Duration timeout, Proxy::StoreCallSlot) override;
    void followFeeder(const SocketAddress& feeder, Proxy::StoreTable, Proxy::RowVersion after, Duration wait,
        Duration timeout, Proxy::StoreCallSlot) override;
    void cancelCall(Proxy::StoreTable, Proxy::StoreCallSlot) override;
    void answerFeed(RequestId, const std::optional<Proxy::FeedPage>&) override;
    void writeHost(const HostName&, const std::string& value) override;
    void readLease(const Proxy::GroupName&) override;
    void writeLease(const Proxy::GroupName&, const Proxy::PromotionLease&, Proxy::RowVersion expected) override;
    void readMembers(const Proxy::GroupName&, const std::string& fromKey) override;
    void promote(const Proxy::GroupName&, const TargetName&, Proxy::RowVersion token, Instant sendBefore) override;
    void queryPeer(const SocketAddress&) override;
    void queryVersion(const SocketAddress&, ConfigVersion own, Duration timeout) override;
    /// @return the client of calls to another host, apart from those for the followed tables.
    [[nodiscard]] Wire::PlatformClient& peerClient(const SocketAddress&);
    void sendDatagram(const SocketAddress&, std::string_view) override;
    /// Opens the socket for datagrams once it is needed.
    void listenForDatagrams();
    void servePeer(const Wire::HttpRequest&);
    /// Serves a request of another host for the changes of a table.
    void serveFeed(const Wire::HttpRequest&);
    /// Serves another host's question for the version of this host's configuration.
    void serveVersion(const Wire::HttpRequest&);
    void onPlatformAnswer(const PlatformAnswer&);

    void log(const LogRecord&) override;
    void measure(std::string_view series, double sample) override;
    /// @return one line for each kind of target request with the number sent.
    [[nodiscard]] std::string requestCounts() const;
    /// @return lines for the calls that wait for a connection to the store and for the ages of the copies of tables.
    [[nodiscard]] std::string tableMetrics() const;

    // ShutdownDelegate.
    void announceLeave(Instant now) override;
    void stopAccepting() override;
    void reportForcedShutdown() override;
    void stop(bool isGraceful) override;
    [[nodiscard]] bool nothingInFlight() const override;

    event_base* m_base;
    Proxy::ProxySettings m_settings;
    SettingsLoader m_loadSettings;
    Platform::RowDecoder m_decoder;
    Proxy::DescriptorShares m_shares;
    Proxy::MemoryShares m_memory;
    Wire::LineServer m_callers;
    /// Accepts sessions that other hosts forward.
    Wire::LineServer m_forwardedSessions;
    SessionForwarder m_forwarder;
    Wire::LineClients m_targets;
    Wire::RelayServer m_relay;
    Wire::HttpServer m_readinessServer;
    Wire::HttpServer m_peerServer;
    Wire::HttpServer m_metricsServer;
    Wire::PlatformClient m_storeClient;
    Wire::PlatformClient m_promotionClient;
    std::map<SocketAddress, std::unique_ptr<Wire::PlatformClient>> m_peerClients;
    std::map<SocketAddress, std::unique_ptr<Wire::PlatformClient>> m_feederClients;
    Wire::Metrics m_metrics;
    Proxy::StoreCallCounts m_storeCalls;
    Proxy::Proxy m_proxy;
    Shutdown m_shutdown;
    /// Beside the relay server on the same port number; null while no datagrams are exchanged.
    std::unique_ptr<Wire::GossipSocket> m_datagrams;
    bool m_isDatagramFailureLogged { false };
    std::unordered_map<ConnectionId, Platform::TargetCodec> m_codecs;
    std::unordered_map<ConnectionId, PendingConnection> m_pendingConnections;
    std::array<std::uint64_t, std::variant_size_v<Proxy::TargetRequest>> m_requestCounts {};
    std::map<PlatformCallId, ReplyHandler> m_replyHandlers;
    /// A call for a followed table.
    struct TableCall {
        PlatformCallId id;
        /// The host that was called; empty if it was the store.
        std::optional<SocketAddress> feeder;
    };
    /// The last call of each slot.
    std::map<std::pair<Proxy::StoreTable, Proxy::StoreCallSlot>, TableCall> m_tableCalls;
    std::uint64_t m_lastCallId { 0 };
    std::vector<EventHandle> m_events;
    Instant m_lastLimitReport {};
    /// Connections closed by a limit since the last report, for each reason.
    std::array<std::size_t, 4> m_closedByLimit {};
    std::uint64_t m_reportedRefusals { 0 };
    std::optional<Instant> m_shutdownAnnouncedAt;
    int m_exitStatus { 0 };
};

} // namespace Auburnpost
