#include "engine/EngineState.h"

#include "engine/HomeOperation.h"
#include "engine/PeerCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost {

namespace {

    /// Minimum interval between two placements of homes; changes of membership and document in between take
    /// effect together.
    constexpr Duration placementInterval = std::chrono::milliseconds(100);
    /// Interval between reads of the platform's host list while no other host is known.
    constexpr Duration aloneHostListInterval = std::chrono::seconds(1);

    constexpr const char* hostsPath = "/hosts";
    constexpr int httpOk = 200;

    Member::HostDescription describe(const Config::Settings& settings, Incarnation incarnation)
    {
        return { settings.host.name, settings.host.dataCentre, settings.listen.gossip, settings.listen.peers,
            incarnation, incarnation };
    }

    Member::MembershipSettings membershipSettings(const Config::Settings& settings)
    {
        Member::MembershipSettings result;
        result.seeds = settings.seeds.hosts;
        result.gossipInterval = settings.member.gossipInterval;
        result.protocolPeriod = settings.member.probePeriod;
        result.suspicionTimeout = settings.member.suspectTimeout;
        return result;
    }

    RequestSettings requestSettings(const Config::Settings& settings)
    {
        RequestSettings result;
        result.defaultTimeout = settings.limits.defaultTimeout;
        result.maxTimeout = settings.limits.maxTimeout;
        result.organisations.capacity = settings.limits.queueLength;
        return result;
    }

    Route::Signer signer(const Config::Settings& settings)
    {
        const auto& previous = settings.session.previousKey;
        return Route::Signer(settings.session.signingKey, previous.empty() ? std::nullopt : std::optional(previous));
    }

} // namespace

EngineState::EngineState(Instant now, const Config::Settings& settings, Incarnation incarnation, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_incarnation(incarnation)
    , m_membership(describe(settings, incarnation), membershipSettings(settings))
    , m_coordinator(settings.host.name, incarnation, settings.host.dataCentre, signer(settings),
          requestSettings(settings), m_random, *this)
    , m_config(settings.platform, m_random, *this)
    , m_nextHostList(now)
    , m_shutdown({ ShutdownTimes {}.noticePeriod, settings.limits.stopTimeout }, *this)
    , m_startedAt(now)
    , m_lastJoin(now)
{
}

Actions EngineState::onEvent(Instant now, Event event)
{
    std::visit([this, now](auto& alternative) { handle(now, std::move(alternative)); }, event);
    deliverReplies(now);
    if (m_placementStale && now - m_lastPlacement >= placementInterval)
        placeHomes(now);
    return std::exchange(m_actions, {});
}

void EngineState::log(LogEvent event, std::vector<LogField> fields)
{
    m_actions.emplace_back(LogRecord { event, std::move(fields) });
}

// Events from the adapters

void EngineState::handle(Instant now, CallerRequest request)
{
    m_coordinator.handleRequest(now, std::move(request));
}

void EngineState::handle(Instant, const CallerDisconnected& disconnected)
{
    m_coordinator.handleCallerDisconnect(disconnected.id);
}

DatabaseHome* EngineState::findHome(ConnectionId connection)
{
    for (auto& [name, entry] : m_homes) {
        if (entry.home->holds(connection))
            return entry.home.get();
    }
    return nullptr;
}

void EngineState::handle(Instant now, const TargetConnected& connected)
{
    if (auto* home = findHome(connected.connection))
        home->handleConnectionOpened(now, connected.connection, connected.targetStatus);
}

void EngineState::handle(Instant now, const TargetAnswer& answer)
{
    if (auto* home = findHome(answer.connection))
        home->handleAnswer(now, answer);
}

void EngineState::handle(Instant now, const TargetConnectionLost& lost)
{
    if (auto* home = findHome(lost.connection))
        home->handleConnectionLoss(now, lost);
}

void EngineState::handle(Instant now, const PeerReceived& received)
{
    auto message = readPeerMessage(received.bytes);
    if (!message) {
        log(LogEvent::PeerMessageRejected, { { "reason", message.error().describe() } });
        return;
    }
    std::visit([this, now](auto& alternative) { handlePeerMessage(now, std::move(alternative)); }, *message);
}

void EngineState::handle(Instant now, const PeerSendFailed& notSent)
{
    const auto message = readPeerMessage(notSent.bytes);
    const auto* forwarded = message ? std::get_if<ForwardedRequest>(&*message) : nullptr;
    if (forwarded)
        m_coordinator.handleSendFailure(now, forwarded->attempt);
    log(LogEvent::PeerMessageNotSent, { { "peer", notSent.address.toString() } });
}

void EngineState::handle(Instant now, const GossipReceived& received)
{
    const auto actions = m_membership.handleDatagram(now, received.from, received.bytes);
    if (actions)
        handleMembership(now, *actions);
}

void EngineState::handle(Instant now, const Tick&)
{
    handleMembership(now, m_membership.tick(now, m_random));
    m_config.tick(now);
    pollHostList(now);
    for (auto& [name, entry] : m_homes)
        entry.home->tick(now);
    m_coordinator.tick(now);
    retireHomes(now);
    checkMembershipKnown(now);
    m_shutdown.tick(now);
}

// Messages from other hosts

void EngineState::handlePeerMessage(Instant now, ForwardedRequest message)
{
    submit(now, { message.attempt, message.replyTo }, std::move(message.homeRequest), now + message.timeLeft);
}

void EngineState::handlePeerMessage(Instant now, ForwardedReply message)
{
    m_coordinator.handleHomeReply(now, message.attempt, std::move(message.reply));
}

void EngineState::handlePeerMessage(Instant, const DocumentRequest& message)
{
    if (document())
        sendToPeer(message.replyTo, DocumentResponse { m_settings.host.name, m_config.version(), m_config.bytes() });
}

void EngineState::handlePeerMessage(Instant now, const DocumentResponse& message)
{
    m_config.handlePeerDocument(now, message.from, message.version, message.text);
}

void EngineState::handlePeerMessage(Instant now, const WatcherMessage& watcherMessage)
{
    const auto found = m_homes.find(watcherMessage.database);
    if (found != m_homes.end())
        found->second.home->handleWatcherMessage(now, watcherMessage.from, watcherMessage.content);
}

// Requests to homes and their replies

void EngineState::dispatch(
    Instant now, AttemptNumber attempt, const HomeRef& home, const HomeRequest& homeRequest, Instant deadline)
{
    if (home.name == m_settings.host.name) {
        submit(now, { attempt, std::nullopt }, homeRequest, deadline);
        return;
    }
    sendToPeer(home.peerAddress,
        ForwardedRequest { m_settings.host.name, m_settings.listen.peers, attempt, deadline - now, homeRequest });
}

void EngineState::submit(Instant now, const Origin& origin, HomeRequest homeRequest, Instant deadline)
{
    const auto found = m_homes.find(homeRequest.database);
    if (found == m_homes.end()) {
        m_replies.push_back({ origin,
            HomeFailure { FailedOutcome::NotRun,
                { ErrorCode::NoHome, "forward", m_settings.host.name.value(),
                    "this host is not a home of the database" },
                std::nullopt } });
        return;
    }
    const auto id = nextOperation();
    m_origins.emplace(id, origin);
    found->second.home->submit(now, id, std::move(homeRequest), deadline);
}

void EngineState::handleHomeReply(Instant, OperationId id, HomeReply reply)
{
    const auto origin = m_origins.extract(id);
    if (origin)
        m_replies.push_back({ origin.mapped(), std::move(reply) });
}

void EngineState::deliverReplies(Instant now)
{
    // A reply can start the next attempt, which may be replied to immediately.
    while (!m_replies.empty()) {
        auto [origin, reply] = std::move(m_replies.front());
        m_replies.pop_front();
        if (origin.replyTo)
            sendToPeer(*origin.replyTo, ForwardedReply { m_settings.host.name, origin.attempt, std::move(reply) });
        else
            m_coordinator.handleHomeReply(now, origin.attempt, std::move(reply));
    }
}

void EngineState::sendWatcherMessage(const HostName& to, const DatabaseName& database, std::string content)
{
    if (const auto peer = host(to))
        sendToPeer(peer->peerAddress, WatcherMessage { m_settings.host.name, database, std::move(content) });
}

void EngineState::sendToPeer(const SocketAddress& address, const PeerMessage& message)
{
    m_actions.emplace_back(SendToPeer { address, writePeerMessage(message) });
}

// Configuration and the platform

void EngineState::handleNewDocument(Instant now)
{
    m_membership.setConfigVersion(now, m_config.version());
    m_placementStale = true;
}

bool EngineState::requestDocument(const HostName& name)
{
    const auto remoteHost = host(name);
    if (remoteHost)
        sendToPeer(remoteHost->peerAddress, DocumentRequest { m_settings.host.name, m_settings.listen.peers });
    return remoteHost.has_value();
}

void EngineState::handleMembership(Instant now, const Member::ConfigVersionSeen& seen)
{
    m_config.handlePeerVersion(now, seen.host, seen.version);
}

void EngineState::handle(Instant now, const SectionPut& put)
{
    const auto editId = m_settings.host.name.value() + "#" + std::to_string(m_incarnation.value()) + ":"
        + std::to_string(++m_lastEdit);
    m_config.startEdit(now, put, editId);
}

void EngineState::pollHostList(Instant now)
{
    if (now < m_nextHostList)
        return;
    const bool isAlone = m_membership.liveHosts().size() == 1;
    m_nextHostList = now + (isAlone ? aloneHostListInterval : m_settings.platform.hostListInterval);
    m_hostListCall = nextPlatformCall();
    m_actions.emplace_back(PlatformCall {
        m_hostListCall, PlatformMethod::Get, hostsPath, "", std::nullopt, m_settings.platform.callTimeout });
}

void EngineState::handle(Instant now, const PlatformAnswer& answer)
{
    if (answer.id != m_hostListCall)
        m_config.handlePlatformAnswer(now, answer);
    else if (answer.reply && answer.reply->status == httpOk)
        handleHostList(now, *answer.reply);
}

void EngineState::handleHostList(Instant now, const PlatformReply& reply)
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array())
        return;
    std::vector<Member::ListedHost> hosts;
    for (const auto& item : json["hosts"]) {
        if (!item.is_object())
            continue;
        const auto gossip = SocketAddress::parse(item.value("gossip", ""));
        if (gossip)
            hosts.push_back({ HostName(item.value("name", "")), *gossip });
    }
    m_membership.setHostList(now, hosts);
}

// Shutdown

void EngineState::handle(Instant now, const ShutdownRequested&)
{
    m_shutdown.signal(now);
}

void EngineState::announceLeave(Instant now)
{
    log(LogEvent::ShutdownStarted, { { "requests", std::to_string(m_coordinator.inFlight()) } });
    m_membership.announceShutdown(now);
    m_placementStale = true;
}

void EngineState::stopAccepting()
{
    m_actions.emplace_back(DrainCallers {});
}

void EngineState::reportForcedShutdown()
{
    log(LogEvent::ShutdownForced,
        { { "requests", std::to_string(m_coordinator.inFlight()) }, { "operations", std::to_string(operations()) } });
}

void EngineState::stop(bool isGraceful)
{
    log(LogEvent::ShutdownCompleted, {});
    m_actions.emplace_back(ExitProcess { isGraceful ? 0 : 1 });
}

std::size_t EngineState::operations() const
{
    std::size_t count = 0;
    for (const auto& [name, entry] : m_homes)
        count += entry.home->operations();
    return count;
}

bool EngineState::nothingInFlight() const
{
    return m_coordinator.inFlight() == 0 && operations() == 0;
}

bool EngineState::isReady() const
{
    return document() && m_isMembershipKnown && !m_shutdown.isStopping();
}

} // namespace Auburnpost
