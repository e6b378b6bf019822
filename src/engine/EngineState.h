#pragma once

#include "engine/ConfigKeeper.h"
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

/// The parts of the engine and the ways between them.
class EngineState : public DatabaseHomeOwner,
                    public RequestCoordinatorOwner,
                    public ConfigKeeperOwner,
                    public ShutdownOwner {
public:
    EngineState(Instant now, const Config::Settings&, Incarnation, std::uint64_t seed);

    Actions onEvent(Instant now, Event);
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string dump(Instant now) const;
    [[nodiscard]] const ConfigKeeper& config() const { return m_config; }

    // RequestCoordinatorOwner
    [[nodiscard]] const Config::Document* document() const override { return m_config.document(); }
    [[nodiscard]] std::vector<HomeRef> homesOf(const DatabaseName&) const override;
    [[nodiscard]] std::optional<HomeRef> host(const HostName&) const override;
    void dispatch(Instant now, AttemptNumber, const HomeRef&, const Work&, Instant deadline) override;

    // DatabaseHomeOwner
    Actions& actions() override { return m_actions; }
    ConnectionId nextConnection() override { return ConnectionId(++m_lastConnection); }
    CommandId nextCommand() override { return CommandId(++m_lastCommand); }
    OperationId nextOperation() override { return OperationId(++m_lastOperation); }
    void sendWatcherNote(const HostName&, const DatabaseName&, std::string content) override;
    void workReplied(Instant now, OperationId, WorkReply) override;

    // ConfigKeeperOwner
    PlatformCallId nextPlatformCall() override { return PlatformCallId(++m_lastPlatformCall); }
    bool askForDocument(const HostName&) override;
    void documentApplied(Instant now) override;

    // ShutdownOwner
    void announceLeave(Instant now) override;
    void stopAccepting() override;
    void reportCut() override;
    void stop(bool cutsNothing) override;
    [[nodiscard]] bool nothingInFlight() const override;

private:
    /// Who waits for the reply to an operation.
    struct Origin {
        AttemptNumber attempt;
        /// Empty when it is a request of this host.
        std::optional<SocketAddress> replyTo;
    };
    struct HomeEntry {
        std::unique_ptr<DatabaseHome> home;
        /// Since when this host is not a home of the database any more.
        std::optional<Instant> retiredAt;
    };

    void handle(Instant now, CallerRequest);
    void handle(Instant now, const CallerGone&);
    void handle(Instant now, const TargetOpened&);
    void handle(Instant now, const TargetAnswer&);
    void handle(Instant now, const TargetConnectionLost&);
    void handle(Instant now, const PeerReceived&);
    void handle(Instant now, const PeerNotSent&);
    void handle(Instant now, const GossipReceived&);
    void handle(Instant now, const PlatformAnswer&);
    void handle(Instant now, const SectionPut&);
    void handle(Instant now, const Tick&);
    void handle(Instant now, const StopRequested&);

    void take(Instant now, ForwardedWork);
    void take(Instant now, ForwardedReply);
    void take(Instant now, const DocumentWanted&);
    void take(Instant now, const DocumentOffered&);
    void take(Instant now, const WatcherNote&);

    void submit(Instant now, const Origin&, Work, Instant deadline);
    void deliverReplies(Instant now);
    void apply(Instant now, const Member::MembershipActions&);
    void apply(Instant now, const Member::SendDatagram&);
    void apply(Instant now, const Member::HostChanged&);
    void apply(Instant now, const Member::ConfigVersionSeen&);
    void placeHomes(Instant now);
    void openHome(Instant now, const DatabaseName&, const Config::DatabasePlacement&);
    void retireHomes(Instant now);
    void applyMaintenance(Instant now);
    void pollHostList(Instant now);
    void takeHostList(Instant now, const PlatformReply&);
    void settleMembers(Instant now);
    [[nodiscard]] std::size_t operations() const;
    DatabaseHome* holderOf(ConnectionId);
    void sendPeer(const SocketAddress&, const PeerMessage&);
    void log(LogEvent, std::vector<LogField> fields);

    Config::Settings m_settings;
    RandomEngine m_random;
    Incarnation m_incarnation;
    Actions m_actions;
    Member::Membership m_membership;
    RequestCoordinator m_coordinator;
    ConfigKeeper m_config;
    std::map<DatabaseName, std::vector<HostName>> m_homeNames;
    std::map<DatabaseName, HomeEntry> m_homes;
    std::map<OperationId, Origin> m_origins;
    struct Reply {
        Origin origin;
        WorkReply reply;
    };
    std::deque<Reply> m_replies;
    /// The incarnation with which each other host started.
    std::map<HostName, Incarnation> m_startOfHost;
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
    Instant m_lastJoin;
    /// Whether this host has had time to learn of the others, so that it does not take itself for every home.
    bool m_knowsMembers { false };
};

} // namespace Auburnpost
