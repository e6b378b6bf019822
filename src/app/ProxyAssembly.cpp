#include "app/ProxyAssembly.h"

#include "app/Logging.h"

#include <event2/event.h>

#include <array>
#include <csignal>
#include <ctime>
#include <random>

namespace Auburnpost {

namespace {

    /// Time for which callers are still accepted after the stop signal, until the load balancer has noticed.
    constexpr Duration balancerNoticePeriod = std::chrono::milliseconds(2300);
    /// Time before the stop timeout at which the process exits by itself; it is killed at the stop timeout.
    constexpr Duration stopMargin = std::chrono::milliseconds(600);
    /// Interval between two reports of the connections that were closed by limits, which bounds the volume of the log.
    constexpr Duration limitReportInterval = std::chrono::seconds(1);
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;

    ShutdownTimes shutdownTimes(const Proxy::ProxySettings& settings)
    {
        ShutdownTimes times;
        times.limit = settings.stopTimeout - stopMargin;
        times.noticePeriod = std::min(balancerNoticePeriod, times.limit / 2);
        return times;
    }

    /// @return the use of a budget for the state dump: connections, bytes held of those available, and messages that
    /// wait for memory.
    std::string describe(const Limit::ClientBudget& budget)
    {
        return std::to_string(budget.size()) + "/" + std::to_string(budget.chargedBytes()) + "/"
            + std::to_string(budget.sharedBytes()) + "/" + std::to_string(budget.waiting());
    }

    /// Two calls for each followed table.
    constexpr std::size_t urgentStoreConnections = 2 * Proxy::followedTables.size();
    constexpr std::size_t storeConnections = urgentStoreConnections + 4;
    /// Each promotion call opens a connection of its own, so the client keeps none.
    constexpr std::size_t promotionConnections = 0;

} // namespace

ProxyAssembly::ProxyAssembly(event_base* base, const Proxy::ProxySettings& settings, SettingsLoader load)
    : m_base(base)
    , m_settings(settings)
    , m_loadSettings(std::move(load))
    , m_shares(settings.descriptors)
    , m_memory(settings.memoryBytes)
    , m_callers(base, settings.callers, callerLimits(m_shares.callers, m_memory.callers, false))
    , m_forwardedSessions(
          base, settings.sessions, callerLimits(m_shares.peerSessions, m_memory.peerSessions, true), forwardedIdBase)
    , m_forwarder(base)
    , m_targets(base)
    , m_relay(base, settings.relay, m_shares.relays,
          [this](const TargetName& target) { return !m_shutdownAnnouncedAt && m_proxy.mayRelay(now(), target); })
    , m_readinessServer(base, settings.readiness, {})
    , m_peerServer(base, settings.peers, {})
    , m_metricsServer(base, settings.metrics, {})
    , m_storeClient(base, settings.store, clientLimits(settings, storeConnections, urgentStoreConnections))
    , m_promotionClient(base, settings.promotions, clientLimits(settings, promotionConnections))
    , m_proxy(now(), settings, m_decoder, *this, std::random_device {}())
    , m_shutdown(shutdownTimes(settings), *this)
{
    connectSignals();
    watchProcessSignals();
}

ProxyAssembly::~ProxyAssembly() = default;

Instant ProxyAssembly::now()
{
    // CLOCK_MONOTONIC stops while a host is suspended, so every age would be too low by the time of the suspension.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

Expected<void> ProxyAssembly::listen()
{
    for (const auto& outcome : { m_readinessServer.listen(), m_peerServer.listen(), m_metricsServer.listen(),
             m_relay.listen(), m_forwardedSessions.listen(), m_callers.listen() }) {
        if (!outcome)
            return outcome;
    }
    log({ LogEvent::Started,
        { { "host", m_settings.host.value() }, { "data_centre", m_settings.dataCentre.value() } } });
    onTick();
    return {};
}

void ProxyAssembly::connectSignals()
{
    listenForCallers(m_callers);
    listenForCallers(m_forwardedSessions);
    connectForwarder();
    m_targets.connected().connect([this](ConnectionId id) {
        const auto& pendingConnection = m_pendingConnections.at(id);
        m_targets.send(id,
            pendingConnection.awaitsRelayReply
                ? Wire::RelayServer::request(pendingConnection.target.address, pendingConnection.target.name)
                : Platform::TargetCodec::writeConnectionRequest(
                    pendingConnection.target, pendingConnection.organisation));
    });
    m_targets.lineReceived().connect([this](ConnectionId id, std::string_view line) { onTargetLine(id, line); });
    m_targets.disconnected().connect([this](ConnectionId id, Wire::DisconnectReason end) { onTargetEnded(id, end); });
    m_readinessServer.requestReceived().connect([this](const Wire::HttpRequest& request) {
        const bool isReady = m_proxy.isReady() && !m_shutdownAnnouncedAt;
        m_readinessServer.reply(request.id, { isReady ? statusOk : statusUnavailable, {}, {} });
    });
    m_peerServer.requestReceived().connect([this](const Wire::HttpRequest& request) { servePeer(request); });
    m_metricsServer.requestReceived().connect([this](const Wire::HttpRequest& request) {
        m_metricsServer.reply(request.id,
            { statusOk, { { "Content-Type", "text/plain" } },
                m_metrics.dump() + requestCounts() + m_storeCalls.dump() + tableMetrics() });
    });
    for (auto* const server : { &m_readinessServer, &m_peerServer, &m_metricsServer })
        server->requestRefused().connect([server](RequestId id, const Error&) {
            server->reply(id, { statusNotFound, {}, {} });
        });
    m_storeClient.answered().connect([this](const PlatformAnswer& answer) { onPlatformAnswer(answer); });
    m_promotionClient.answered().connect([this](const PlatformAnswer& answer) { onPlatformAnswer(answer); });
}

void ProxyAssembly::watchProcessSignals()
{
    const auto add = [this](event* created, const timeval* timeout) {
        m_events.emplace_back(created, event_free);
        event_add(created, timeout);
    };
    const auto stop
        = [](evutil_socket_t, short, void* self) { static_cast<ProxyAssembly*>(self)->m_shutdown.signal(now()); };
    const auto reload = [](evutil_socket_t, short, void* self) { static_cast<ProxyAssembly*>(self)->reload(); };
    const auto dump = [](evutil_socket_t, short, void* self) { static_cast<ProxyAssembly*>(self)->dumpState(); };
    const auto tick = [](evutil_socket_t, short, void* self) { static_cast<ProxyAssembly*>(self)->onTick(); };
    add(evsignal_new(m_base, SIGTERM, stop, this), nullptr);
    add(evsignal_new(m_base, SIGINT, stop, this), nullptr);
    add(evsignal_new(m_base, SIGHUP, reload, this), nullptr);
    add(evsignal_new(m_base, SIGUSR1, dump, this), nullptr);
    const timeval interval { 0, static_cast<suseconds_t>(Proxy::Proxy::tickInterval.count()) };
    add(event_new(m_base, -1, EV_PERSIST, tick, this), &interval);
}

void ProxyAssembly::onTick()
{
    const auto moment = now();
    listenForDatagrams();
    m_callers.tick(moment);
    m_forwardedSessions.tick(moment);
    m_proxy.tick(moment);
    m_forwarder.tick(moment);
    m_shutdown.tick(moment);
    Logging::flush();
    if (m_shutdownAnnouncedAt && moment - *m_shutdownAnnouncedAt >= m_settings.stopTimeout / 2) {
        m_proxy.endIdleTransactions(moment);
        m_forwarder.endSessionsWithoutRequest();
    }
    if (moment - m_lastLimitReport < limitReportInterval)
        return;
    m_lastLimitReport = moment;
    reportLimits();
}

void ProxyAssembly::listenForDatagrams()
{
    if (m_datagrams || !m_proxy.usesDatagrams())
        return;
    auto datagrams = std::make_unique<Wire::GossipSocket>(m_base, m_settings.relay);
    if (const auto outcome = datagrams->listen(); !outcome) {
        if (!std::exchange(m_isDatagramFailureLogged, true))
            log({ LogEvent::ListenFailed, { { "reason", outcome.error().describe() } } });
        return;
    }
    datagrams->received().connect([this](const SocketAddress& from, std::string_view datagram) {
        m_proxy.datagramReceived(now(), from, datagram);
    });
    m_datagrams = std::move(datagrams);
}

void ProxyAssembly::reload()
{
    const auto settings = m_loadSettings();
    if (!settings) {
        log({ LogEvent::SettingsRejected, { { "reason", settings.error().describe() } } });
        return;
    }
    m_proxy.setSeeds(settings->seeds);
    m_proxy.setBounds(settings->bounds);
    log({ LogEvent::SettingsReloaded, { { "seeds", std::to_string(settings->seeds.size()) } } });
}

void ProxyAssembly::dumpState()
{
    log({ LogEvent::StateDumped,
        { { "state", m_proxy.dump(now()) }, { "callers", describe(m_callers.budget()) },
            { "peer_sessions", describe(m_forwardedSessions.budget()) } } });
}

void ProxyAssembly::onTargetLine(ConnectionId id, std::string_view text)
{
    const auto codec = m_codecs.find(id);
    if (codec == m_codecs.end())
        return;
    const auto pendingConnection = m_pendingConnections.find(id);
    if (pendingConnection != m_pendingConnections.end() && pendingConnection->second.awaitsRelayReply) {
        onRelayLine(id, pendingConnection->second, text);
        return;
    }
    auto line = codec->second.read(text);
    if (const auto* const reply = std::get_if<Proxy::TargetReply>(&line)) {
        m_proxy.replied(now(), id, *reply);
    } else if (const auto* const accepted = std::get_if<Platform::ConnectionAccepted>(&line)) {
        m_pendingConnections.erase(id);
        m_proxy.connectionOpened(now(), id, accepted->position);
    } else if (const auto* const refusal = std::get_if<Platform::ConnectionRefused>(&line)) {
        m_proxy.connectionRefused(now(), id, refusal->code);
    } else if (std::holds_alternative<Platform::ProtocolViolation>(line)) {
        log({ LogEvent::TargetConnectionLost,
            { { "id", std::to_string(id.value()) }, { "error", "unexpected line" } } });
        m_proxy.connectionLost(now(), id);
    }
}

void ProxyAssembly::onRelayLine(ConnectionId id, PendingConnection& pendingConnection, std::string_view text)
{
    if (text != Wire::RelayServer::accepted) {
        m_proxy.connectionRefused(now(), id, Session::FailureCode::Failed);
        return;
    }
    pendingConnection.awaitsRelayReply = false;
    m_targets.send(
        id, Platform::TargetCodec::writeConnectionRequest(pendingConnection.target, pendingConnection.organisation));
}

void ProxyAssembly::onTargetEnded(ConnectionId id, Wire::DisconnectReason end)
{
    const bool wasOpening = m_pendingConnections.contains(id);
    m_codecs.erase(id);
    m_pendingConnections.erase(id);
    if (wasOpening && end == Wire::DisconnectReason::ConnectFailed)
        m_proxy.connectionRefused(now(), id, Session::FailureCode::Failed);
    else
        m_proxy.connectionLost(now(), id);
}

void ProxyAssembly::openConnection(ConnectionId id, const Proxy::TargetRecord& target,
    const OrganisationName& organisation, const std::optional<SocketAddress>& relay)
{
    m_pendingConnections.emplace(id, PendingConnection { target, organisation, relay.has_value() });
    m_codecs.emplace(id, Platform::TargetCodec());
    m_targets.open(id, relay ? *relay : target.address);
}

void ProxyAssembly::closeConnection(ConnectionId id)
{
    m_pendingConnections.erase(id);
    m_codecs.erase(id);
    m_targets.close(id);
}

void ProxyAssembly::send(ConnectionId id, const std::vector<Proxy::TargetRequest>& requests)
{
    const auto codec = m_codecs.find(id);
    if (codec == m_codecs.end())
        return;
    for (const auto& request : requests)
        ++m_requestCounts[request.index()];
    m_targets.send(id, codec->second.write(requests));
}

void ProxyAssembly::log(const LogRecord& record)
{
    Logging::write(record);
}

std::string ProxyAssembly::requestCounts() const
{
    // In the order of TargetRequest.
    constexpr std::array names { "reset", "set_value", "prepare", "begin", "rollback", "ask_standing", "fence",
        "resume", "demote", "statement" };
    std::string text;
    for (std::size_t index = 0; index < names.size(); ++index)
        text += std::string("target_requests_") + names[index] + " count=" + std::to_string(m_requestCounts[index])
            + "\n";
    return text;
}

std::string ProxyAssembly::tableMetrics() const
{
    std::string text = "store_calls_waiting count=" + std::to_string(m_storeClient.waiting())
        + " max=" + std::to_string(m_storeClient.mostWaiting()) + "\n";
    for (const auto table : Proxy::followedTables) {
        const auto age = m_proxy.copyAge(now(), table);
        text += "copy_age_" + std::string(toString(table))
            + "_ms now=" + (age ? std::to_string(toMilliseconds(*age)) : "-")
            + " max=" + std::to_string(toMilliseconds(m_proxy.largestCopyAge(table))) + "\n";
    }
    text += "primary_absent_ms now=" + std::to_string(toMilliseconds(m_proxy.longestPrimaryAbsence(now()))) + "\n";
    const auto versionAge = m_proxy.versionAge(now());
    return text + "configuration_agreed_ms now=" + (versionAge ? std::to_string(toMilliseconds(*versionAge)) : "-")
        + "\n";
}

void ProxyAssembly::measure(std::string_view series, double sample)
{
    m_metrics.record(series, sample);
}

void ProxyAssembly::announceLeave(Instant now)
{
    m_shutdownAnnouncedAt = now;
    m_proxy.stopFeeding();
    log({ LogEvent::ShutdownStarted, { { "requests", std::to_string(m_proxy.statements()) } } });
}

void ProxyAssembly::stopAccepting()
{
    m_proxy.closeIdleSessions();
    m_forwarder.closeIdle();
}

void ProxyAssembly::reportForcedShutdown()
{
    log({ LogEvent::ShutdownForced,
        { { "requests", std::to_string(m_proxy.statements()) },
            { "operations", std::to_string(m_proxy.sessions()) } } });
}

void ProxyAssembly::stop(bool isGraceful)
{
    m_exitStatus = isGraceful ? 0 : 1;
    log({ LogEvent::ShutdownCompleted, {} });
    event_base_loopexit(m_base, nullptr);
}

bool ProxyAssembly::nothingInFlight() const
{
    return m_proxy.sessions() == 0 && m_forwarder.size() == 0 && m_callers.isFlushed()
        && m_forwardedSessions.isFlushed();
}

} // namespace Auburnpost
