#pragma once

#include "engine/ConfigurationManager.h"
#include "engine/DatabaseHome.h"
#include "engine/Engine.h"
#include "engine/RequestCoordinator.h"
#include "engine/Shutdown.h"
#include "member/Membership.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace Auburnpost {

/// Owns the components of the engine and connects them.
class EngineState : public DatabaseHomeDelegate,
                    public RequestCoordinatorDelegate,
                    public ConfigurationManagerDelegate,
                    public ShutdownDelegate {
public:
    EngineState(Instant now, const Config::Settings&, Incarnation, std::uint64_t seed);

    Actions onEvent(Instant now, Event);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string dump(Instant now) const;
    [[nodiscard]] const ConfigurationManager& config() const { return m_config; }

    // RequestCoordinatorDelegate
    [[nodiscard]] const Config::Document* document() const override { return m_config.document(); }
    [[nodiscard]] std::vector<HomeRef> homesOf(const DatabaseName&) const override;
    [[nodiscard]] std::optional<HomeRef> host(const HostName&) const override;
    void dispatch(Instant now, AttemptNumber, const HomeRef&, const HomeRequest&, Instant deadline) override;

    // DatabaseHomeDelegate
    Actions& actions() override { return m_actions; }
    ConnectionId nextConnection() override { return ConnectionId(++m_lastConnection); }
    CommandId nextCommand() override { return CommandId(++m_lastCommand); }
    OperationId nextOperation() override { return OperationId(++m_lastOperation); }
    void sendWatcherMessage(const HostName&, const DatabaseName&, std::string content) override;
    void handleHomeReply(Instant now, OperationId, HomeReply) override;

    // ConfigurationManagerDelegate
    PlatformCallId nextPlatformCall() override { return PlatformCallId(++m_lastPlatformCall); }
    bool requestDocument(const HostName&) override;
    void handleNewDocument(Instant now) override;

    // ShutdownDelegate
    void announceLeave(Instant now) override;
    void stopAccepting() override;
    void reportForcedShutdown() override;
    void stop(bool isGraceful) override;
    [[nodiscard]] bool nothingInFlight() const override;

private:
    /// Where the reply to an operation is sent.
    struct Origin {
        AttemptNumber attempt;
        /// Address of the entry host; empty when the request entered on this host.
        std::optional<SocketAddress> replyTo;
    };
    struct HomeEntry {
        std::unique_ptr<DatabaseHome> home;
        /// Time at which this host stopped being a home of the database; empty while it is one.
        std::optional<Instant> retiredAt;
    };

    void handle(Instant now, CallerRequest);
    void handle(Instant now, const CallerDisconnected&);
    void handle(Instant now, const TargetConnected&);
    void handle(Instant now, const TargetAnswer&);
    void handle(Instant now, const TargetConnectionLost&);
    void handle(Instant now, const PeerReceived&);
    void handle(Instant now, const PeerSendFailed&);
    void handle(Instant now, const GossipReceived&);
    void handle(Instant now, const PlatformAnswer&);
    void handle(Instant now, const SectionPut&);
    void handle(Instant now, const Tick&);
    void handle(Instant now, const ShutdownRequested&);

    void handlePeerMessage(Instant now, ForwardedRequest);
    void handlePeerMessage(Instant now, ForwardedReply);
    void handlePeerMessage(Instant now, const DocumentRequest&);
    void handlePeerMessage(Instant now, const DocumentResponse&);
    void handlePeerMessage(Instant now, const WatcherMessage&);

    void submit(Instant now, const Origin&, HomeRequest, Instant deadline);
    void deliverReplies(Instant now);
    void handleMembership(Instant now, const Member::MembershipActions&);
    void handleMembership(Instant now, const Member::SendDatagram&);
    void handleMembership(Instant now, const Member::HostChanged&);
    void handleMembership(Instant now, const Member::ConfigVersionSeen&);
    void placeHomes(Instant now);
    void openHome(Instant now, const DatabaseName&, const Config::DatabasePlacement&);
    void retireHomes(Instant now);
    void updateMaintenance(Instant now);
    void pollHostList(Instant now);
    void handleHostList(Instant now, const PlatformReply&);
    void checkMembershipKnown(Instant now);
    [[nodiscard]] std::size_t operations() const;
    DatabaseHome* findHome(ConnectionId);
    void sendToPeer(const SocketAddress&, const PeerMessage&);
    void log(LogEvent, std::vector<LogField> fields);

    Config::Settings m_settings;
    RandomEngine m_random;
    Incarnation m_incarnation;
    Actions m_actions;
    Member::Membership m_membership;
    RequestCoordinator m_coordinator;
    ConfigurationManager m_config;
    std::map<DatabaseName, std::vector<HostName>> m_homeNames;
    std::map<DatabaseName, HomeEntry> m_homes;
    std::map<OperationId, Origin> m_origins;
    struct Reply {
        Origin origin;
        HomeReply reply;
    };
    std::deque<Reply> m_replies;
    /// The incarnation with which each other host started.
    std::map<HostName, Incarnation> m_startIncarnations;
    bool m_placementStale { true };
    Instant m_lastPlacement {};
    Instant m_nextHostList {};
    PlatformCallId m_hostListCall;
    std::uint64_t m_lastConnection { 0 };
    std::uint64_t m_lastCommand { 0 };
    std::uint64_t m_lastOperation { 0 };
    std::uint64_t m_lastPlatformCall { 0 };
    std::uint64_t m_lastEdit { 0 };
    Shutdown m_shutdown;
    Instant m_startedAt;
    /// Time at which a host last joined or restarted; at first the start of this host.
    Instant m_lastJoin;
    /// Whether this host has had time to discover the others. Before that it would consider itself the home of every
    /// database.
    bool m_isMembershipKnown { false };
};

} // namespace Auburnpost
