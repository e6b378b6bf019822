#pragma once

#include "config/Settings.h"
#include "engine/Engine.h"
#include "wire/CallerServer.h"
#include "wire/GossipSocket.h"
#include "wire/Metrics.h"
#include "wire/OperatorServer.h"
#include "wire/PeerTransport.h"
#include "wire/PlatformClient.h"
#include "wire/PostgresConnections.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>

struct event;

namespace Auburnpost {

/// Connects the engine to its I/O adapters on one event loop: adapter signals become engine events, and engine actions
/// become adapter calls.
class HostAssembly {
public:
    HostAssembly(event_base*, const Config::Settings&);
    ~HostAssembly();
    HostAssembly(const HostAssembly&) = delete;
    HostAssembly& operator=(const HostAssembly&) = delete;

    /// Listens on every address of the settings.
    /// @return nothing, or the first failure.
    Expected<void> listen();
    [[nodiscard]] int exitStatus() const { return m_exitStatus; }

private:
    using EventHandle = std::unique_ptr<event, void (*)(event*)>;

    static Instant now();
    void connectSignals();
    void watchProcessSignals();
    void onTick();
    /// Logs and measures what the limits for callers' connections have done.
    void reportLimits();
    void post(Event);
    void perform(Action);
    void perform(const CallerAnswer&);
    void perform(const OpenConnection&);
    void perform(const CloseConnection&);
    void perform(const TargetCommand&);
    void perform(const SendToPeer&);
    void perform(const DisconnectPeer&);
    void perform(const SendGossip&);
    void perform(const PlatformCall&);
    void perform(const AnswerOperator&);
    void perform(const LogRecord&);
    void perform(const DrainCallers&);
    void perform(const ExitProcess&);
    void exitWhenAnswered();
    void answerOperator(const Wire::OperatorRequest&);
    void answerConfig(const Wire::OperatorRequest&);
    void dumpState();

    event_base* m_base;
    Config::Settings m_settings;
    Engine m_engine;
    Wire::CallerServer m_callers;
    Wire::PostgresConnections m_targets;
    Wire::PeerTransport m_peers;
    Wire::GossipSocket m_gossip;
    Wire::PlatformClient m_platform;
    Wire::OperatorServer m_operators;
    Wire::Metrics m_metrics;
    /// Connections closed by a limit since the last report, for each reason.
    std::array<std::size_t, 4> m_closedByLimit {};
    Instant m_lastLimitReport {};
    std::map<RequestId, Instant> m_requestStarts;
    std::vector<EventHandle> m_events;
    /// Events posted while the actions of an earlier event were being performed.
    std::deque<Event> m_pendingEvents;
    bool m_isPerforming { false };
    /// Time at which the engine asked the process to exit.
    std::optional<Instant> m_exitRequestedAt;
    int m_exitStatus { 0 };
};

} // namespace Auburnpost
