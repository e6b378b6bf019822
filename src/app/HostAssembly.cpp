#include "app/HostAssembly.h"

#include "app/Logging.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>

namespace Auburnpost {

namespace {

    /// Maximum time that the process waits for the last answers to be sent before it exits.
    constexpr Duration lastAnswersTimeout = std::chrono::seconds(2);
    /// Percentage of the memory for the requests and answers of callers. The rest is for the process, targets and
    /// peers.
    constexpr std::size_t callerMemoryPercent = 35;
    constexpr std::size_t percentBase = 100;
    /// Interval between two reports of the connections that were closed by limits, which bounds the volume of the log.
    constexpr Duration limitReportInterval = std::chrono::seconds(1);
    constexpr const char* jsonType = "application/json";

    /// @return the wall clock in microseconds, which is higher than at any earlier start of the host.
    Incarnation makeIncarnation()
    {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        return Incarnation(
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(wall).count()));
    }

    Wire::CallerServerLimits callerLimits(const Config::Settings& settings)
    {
        Wire::CallerServerLimits limits;
        limits.connections = settings.limits.maxCallers;
        limits.budgetBytes = settings.limits.memory.value() / percentBase * callerMemoryPercent;
        limits.headerBytes = settings.limits.headerBytes.value();
        limits.bodyBytes = settings.limits.bodyBytes.value();
        return limits;
    }

    Wire::PlatformClientLimits platformLimits(const Config::Settings& settings)
    {
        Wire::PlatformClientLimits limits;
        limits.userAgent = settings.host.name.value() + "/" + settings.host.dataCentre.value();
        return limits;
    }

    timeval tickPeriod()
    {
        return { 0, static_cast<suseconds_t>(Engine::tickInterval.count()) };
    }

} // namespace

HostAssembly::HostAssembly(event_base* base, const Config::Settings& settings)
    : m_base(base)
    , m_settings(settings)
    , m_engine(now(), settings, makeIncarnation(), std::random_device {}())
    , m_callers(base, settings.listen.callers, callerLimits(settings))
    , m_targets(base, settings.host.name, settings.host.dataCentre)
    , m_peers(base, settings.listen.peers)
    , m_gossip(base, settings.listen.gossip)
    , m_platform(base, settings.platform.address, platformLimits(settings))
    , m_operators(base, settings.listen.operators)
{
    connectSignals();
    watchProcessSignals();
}

HostAssembly::~HostAssembly() = default;

Instant HostAssembly::now()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

Expected<void> HostAssembly::listen()
{
    m_callers.tick(now());
    for (const auto& outcome : { m_callers.listen(), m_operators.listen(), m_peers.listen(), m_gossip.listen() }) {
        if (!outcome)
            return outcome;
    }
    Logging::write({ LogEvent::Started,
        { { "host", m_settings.host.name.value() }, { "data_centre", m_settings.host.dataCentre.value() } } });
    return {};
}

void HostAssembly::connectSignals()
{
    m_callers.requestReceived().connect([this](const CallerRequest& request) {
        m_requestStarts.emplace(request.id, now());
        post(request);
    });
    m_callers.callerDisconnected().connect([this](RequestId id) {
        m_requestStarts.erase(id);
        post(CallerDisconnected { id });
    });
    m_callers.closedByLimit().connect([this](Limit::ClientCloseReason reason) {
        ++m_closedByLimit[static_cast<std::size_t>(reason)];
        m_metrics.record("connections_closed_" + std::string(toString(reason)), 1);
    });
    m_targets.connectionOpened().connect([this](ConnectionId id, const TargetStatus& targetStatus) {
        post(TargetConnected { id, targetStatus });
    });
    m_targets.answered().connect([this](const TargetAnswer& answer) { post(answer); });
    m_targets.connectionLost().connect([this](const TargetConnectionLost& lost) { post(lost); });
    m_peers.received().connect([this](const std::string& bytes) { post(PeerReceived { bytes }); });
    m_gossip.received().connect([this](const SocketAddress& from, std::string_view bytes) {
        post(GossipReceived { from, std::string(bytes) });
    });
    m_platform.answered().connect([this](const PlatformAnswer& answer) { post(answer); });
    m_operators.requestReceived().connect([this](const Wire::OperatorRequest& request) { answerOperator(request); });
}

void HostAssembly::watchProcessSignals()
{
    const auto add = [this](event* created, const timeval* timeout) {
        m_events.emplace_back(created, event_free);
        event_add(created, timeout);
    };
    const auto stop
        = [](evutil_socket_t, short, void* self) { static_cast<HostAssembly*>(self)->post(ShutdownRequested {}); };
    const auto dump = [](evutil_socket_t, short, void* self) { static_cast<HostAssembly*>(self)->dumpState(); };
    const auto tick = [](evutil_socket_t, short, void* self) { static_cast<HostAssembly*>(self)->onTick(); };
    add(evsignal_new(m_base, SIGTERM, stop, this), nullptr);
    add(evsignal_new(m_base, SIGINT, stop, this), nullptr);
    add(evsignal_new(m_base, SIGUSR1, dump, this), nullptr);
    const auto interval = tickPeriod();
    add(event_new(m_base, -1, EV_PERSIST, tick, this), &interval);
}

void HostAssembly::onTick()
{
    const auto moment = now();
    m_callers.tick(moment);
    if (moment - m_lastLimitReport >= limitReportInterval) {
        m_lastLimitReport = moment;
        reportLimits();
    }
    post(Tick {});
}

void HostAssembly::reportLimits()
{
    m_metrics.record("caller_memory_bytes", static_cast<double>(m_callers.budget().chargedBytes()));
    const auto closed = std::exchange(m_closedByLimit, {});
    if (std::all_of(closed.begin(), closed.end(), [](auto count) { return count == 0; }))
        return;
    std::vector<LogField> fields;
    for (std::size_t reason = 0; reason < closed.size(); ++reason)
        fields.push_back(
            { std::string(toString(static_cast<Limit::ClientCloseReason>(reason))), std::to_string(closed[reason]) });
    fields.push_back({ "refused", "0" });
    fields.push_back({ "held_bytes", std::to_string(m_callers.budget().chargedBytes()) });
    fields.push_back({ "waiting", std::to_string(m_callers.budget().waiting()) });
    Logging::write({ LogEvent::CallersLimited, std::move(fields) });
}

void HostAssembly::post(Event posted)
{
    m_pendingEvents.push_back(std::move(posted));
    if (m_isPerforming)
        return;
    m_isPerforming = true;
    while (!m_pendingEvents.empty()) {
        auto next = std::move(m_pendingEvents.front());
        m_pendingEvents.pop_front();
        for (auto& action : m_engine.onEvent(now(), std::move(next)))
            perform(std::move(action));
    }
    m_isPerforming = false;
    if (m_exitRequestedAt)
        exitWhenAnswered();
}

void HostAssembly::perform(Action action)
{
    std::visit([this](const auto& alternative) { perform(alternative); }, action);
}

void HostAssembly::perform(const CallerAnswer& answer)
{
    const auto start = m_requestStarts.extract(answer.id);
    if (start) {
        const std::chrono::duration<double, std::milli> elapsed = now() - start.mapped();
        m_metrics.record(
            std::holds_alternative<Refusal>(answer.body) ? "request_refused_ms" : "request_done_ms", elapsed.count());
    }
    m_callers.answer(answer);
}

void HostAssembly::perform(const OpenConnection& open)
{
    m_targets.open(open.connection, open.target, open.address, open.database);
}

void HostAssembly::perform(const CloseConnection& close)
{
    m_targets.close(close.connection);
}

void HostAssembly::perform(const TargetCommand& command)
{
    m_targets.send(command);
}

void HostAssembly::perform(const SendToPeer& send)
{
    const auto sent = m_peers.send(send.address, send.bytes);
    if (!sent)
        post(PeerSendFailed { send.address, send.bytes });
}

void HostAssembly::perform(const DisconnectPeer& disconnect)
{
    m_peers.drop(disconnect.address);
}

void HostAssembly::perform(const SendGossip& send)
{
    // A datagram that cannot be sent is treated like one lost in the network.
    (void)m_gossip.send(send.address, send.bytes);
}

void HostAssembly::perform(const PlatformCall& call)
{
    m_platform.call(call);
}

void HostAssembly::perform(const AnswerOperator& answer)
{
    if (const auto* text = std::get_if<std::string>(&answer.body))
        m_operators.answer({ answer.id, Wire::OperatorText { jsonType, *text }, answer.version });
    else
        m_operators.answer({ answer.id, std::get<Refusal>(answer.body), answer.version });
}

void HostAssembly::perform(const LogRecord& record)
{
    Logging::write(record);
}

void HostAssembly::perform(const DrainCallers&)
{
    m_callers.drain();
}

void HostAssembly::exitWhenAnswered()
{
    const bool hasTimedOut = now() - *m_exitRequestedAt >= lastAnswersTimeout;
    if (m_callers.pending() == 0 || hasTimedOut)
        event_base_loopexit(m_base, nullptr);
}

void HostAssembly::perform(const ExitProcess& exitProcess)
{
    m_exitStatus = exitProcess.exitStatus;
    m_exitRequestedAt = now();
    exitWhenAnswered();
}

void HostAssembly::answerOperator(const Wire::OperatorRequest& request)
{
    using Wire::OperatorAction;
    switch (request.action) {
    case OperatorAction::Ready:
        if (m_engine.isReady())
            m_operators.answer({ request.id, Wire::OperatorText { jsonType, "{\"ready\":true}" }, std::nullopt });
        else
            m_operators.answer({ request.id, Wire::NotReady { "no configuration yet, or stopping" }, std::nullopt });
        return;
    case OperatorAction::State:
        m_operators.answer({ request.id, Wire::OperatorText { jsonType, m_engine.dump(now()) }, std::nullopt });
        return;
    case OperatorAction::Metrics:
        m_operators.answer({ request.id, Wire::OperatorText { "text/plain", m_metrics.dump() }, std::nullopt });
        return;
    case OperatorAction::GetConfig:
        answerConfig(request);
        return;
    case OperatorAction::PutConfig:
        post(SectionPut { request.id, request.section, request.body, request.expectedVersion });
        return;
    }
}

void HostAssembly::answerConfig(const Wire::OperatorRequest& request)
{
    auto text = m_engine.documentText(request.section);
    if (!text.empty()) {
        m_operators.answer(
            { request.id, Wire::OperatorText { jsonType, std::move(text) }, m_engine.documentVersion() });
        return;
    }
    Error error { ErrorCode::NoConfiguration, "get config", "", "this host holds no document, or no such section" };
    m_operators.answer({ request.id, Refusal { FailedOutcome::NotRun, std::move(error), std::nullopt }, std::nullopt });
}

void HostAssembly::dumpState()
{
    Logging::write({ LogEvent::StateDumped, { { "state", nlohmann::json::parse(m_engine.dump(now())).dump() } } });
}

} // namespace Auburnpost
