#include "engine/EngineState.h"

#include "engine/HomeOperation.h"
#include "engine/PeerCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost {

namespace {

    /// Changes of members and document that come closer together are put into force at once.
    constexpr Duration placementInterval = std::chrono::milliseconds(100);
    /// While no other host is known the list is read this often.
    constexpr Duration aloneListInterval = std::chrono::seconds(1);

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
    , m_shutdown({ ShutdownTimes {}.notice, settings.limits.stopTimeout }, *this)
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

// Events of the adapters

void EngineState::handle(Instant now, CallerRequest request)
{
    m_coordinator.arrived(now, std::move(request));
}

void EngineState::handle(Instant, const CallerGone& gone)
{
    m_coordinator.gone(gone.id);
}

DatabaseHome* EngineState::holderOf(ConnectionId connection)
{
    for (auto& [name, entry] : m_homes) {
        if (entry.home->holds(connection))
            return entry.home.get();
    }
    return nullptr;
}

void EngineState::handle(Instant now, const TargetOpened& opened)
{
    if (auto* home = holderOf(opened.connection))
        home->opened(now, opened.connection, opened.standing);
}

void EngineState::handle(Instant now, const TargetAnswer& answer)
{
    if (auto* home = holderOf(answer.connection))
        home->answered(now, answer);
}

void EngineState::handle(Instant now, const TargetConnectionLost& lost)
{
    if (auto* home = holderOf(lost.connection))
        home->lost(now, lost);
}

void EngineState::handle(Instant now, const PeerReceived& received)
{
    auto message = readPeerMessage(received.bytes);
    if (!message) {
        log(LogEvent::PeerMessageRefused, { { "reason", message.error().describe() } });
        return;
    }
    std::visit([this, now](auto& alternative) { take(now, std::move(alternative)); }, *message);
}

void EngineState::handle(Instant now, const PeerNotSent& notSent)
{
    const auto message = readPeerMessage(notSent.bytes);
    const auto* work = message ? std::get_if<ForwardedWork>(&*message) : nullptr;
    if (work)
        m_coordinator.notSent(now, work->attempt);
    log(LogEvent::PeerSendFailed, { { "peer", notSent.address.toString() } });
}

void EngineState::handle(Instant now, const GossipReceived& received)
{
    const auto actions = m_membership.datagram(now, received.from, received.bytes);
    if (actions)
        apply(now, *actions);
}

void EngineState::handle(Instant now, const Tick&)
{
    apply(now, m_membership.tick(now, m_random));
    m_config.tick(now);
    pollHostList(now);
    for (auto& [name, entry] : m_homes)
        entry.home->tick(now);
    m_coordinator.tick(now);
    retireHomes(now);
    settleMembers(now);
    m_shutdown.tick(now);
}

// Messages of other hosts

void EngineState::take(Instant now, ForwardedWork message)
{
    submit(now, { message.attempt, message.replyTo }, std::move(message.work), now + message.timeLeft);
}

void EngineState::take(Instant now, ForwardedReply message)
{
    m_coordinator.workReplied(now, message.attempt, std::move(message.reply));
}

void EngineState::take(Instant, const DocumentWanted& message)
{
    if (document())
        sendPeer(message.replyTo, DocumentOffered { m_settings.host.name, m_config.version(), m_config.bytes() });
}

void EngineState::take(Instant now, const DocumentOffered& message)
{
    m_config.peerDocument(now, message.from, message.version, message.text);
}

void EngineState::take(Instant now, const WatcherNote& note)
{
    const auto found = m_homes.find(note.database);
    if (found != m_homes.end())
        found->second.home->watcherNote(now, note.from, note.content);
}

// Work and its replies

void EngineState::dispatch(Instant now, AttemptNumber attempt, const HomeRef& home, const Work& work, Instant deadline)
{
    if (home.name == m_settings.host.name) {
        submit(now, { attempt, std::nullopt }, work, deadline);
        return;
    }
    sendPeer(
        home.peers, ForwardedWork { m_settings.host.name, m_settings.listen.peers, attempt, deadline - now, work });
}

void EngineState::submit(Instant now, const Origin& origin, Work work, Instant deadline)
{
    const auto found = m_homes.find(work.database);
    if (found == m_homes.end()) {
        m_replies.push_back({ origin,
            WorkFailed { FailedOutcome::NotRun,
                { ErrorCode::NoHome, "forward", m_settings.host.name.value(),
                    "this host is not a home of the database" },
                std::nullopt } });
        return;
    }
    const auto id = nextOperation();
    m_origins.emplace(id, origin);
    found->second.home->submit(now, id, std::move(work), deadline);
}

void EngineState::workReplied(Instant, OperationId id, WorkReply reply)
{
    const auto origin = m_origins.extract(id);
    if (origin)
        m_replies.push_back({ origin.mapped(), std::move(reply) });
}

void EngineState::deliverReplies(Instant now)
{
    // A reply can bring about the next attempt, which may be replied to at once.
    while (!m_replies.empty()) {
        auto [origin, reply] = std::move(m_replies.front());
        m_replies.pop_front();
        if (origin.replyTo)
            sendPeer(*origin.replyTo, ForwardedReply { m_settings.host.name, origin.attempt, std::move(reply) });
        else
            m_coordinator.workReplied(now, origin.attempt, std::move(reply));
    }
}

void EngineState::sendWatcherNote(const HostName& to, const DatabaseName& database, std::string content)
{
    if (const auto peer = host(to))
        sendPeer(peer->peers, WatcherNote { m_settings.host.name, database, std::move(content) });
}

void EngineState::sendPeer(const SocketAddress& address, const PeerMessage& message)
{
    m_actions.emplace_back(SendToPeer { address, writePeerMessage(message) });
}

// Configuration and the platform

void EngineState::documentApplied(Instant now)
{
    m_membership.setConfigVersion(now, m_config.version());
    m_placementStale = true;
}

bool EngineState::askForDocument(const HostName& name)
{
    const auto holder = host(name);
    if (holder)
        sendPeer(holder->peers, DocumentWanted { m_settings.host.name, m_settings.listen.peers });
    return holder.has_value();
}

void EngineState::apply(Instant now, const Member::ConfigVersionSeen& seen)
{
    m_config.peerHasVersion(now, seen.host, seen.version);
}

void EngineState::handle(Instant now, const SectionPut& put)
{
    const auto editId = m_settings.host.name.value() + "#" + std::to_string(m_incarnation.value()) + ":"
        + std::to_string(++m_lastEdit);
    m_config.edit(now, put, editId);
}

void EngineState::pollHostList(Instant now)
{
    if (now < m_nextHostList)
        return;
    const bool isAlone = m_membership.liveHosts().size() == 1;
    m_nextHostList = now + (isAlone ? aloneListInterval : m_settings.platform.hostListInterval);
    m_hostListCall = nextPlatformCall();
    m_actions.emplace_back(PlatformCall {
        m_hostListCall, PlatformMethod::Get, hostsPath, "", std::nullopt, m_settings.platform.callTimeout });
}

void EngineState::handle(Instant now, const PlatformAnswer& answer)
{
    if (answer.id != m_hostListCall)
        m_config.platformAnswered(now, answer);
    else if (answer.reply && answer.reply->status == httpOk)
        takeHostList(now, *answer.reply);
}

void EngineState::takeHostList(Instant now, const PlatformReply& reply)
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
    m_membership.hostList(now, hosts);
}

// Stop

void EngineState::handle(Instant now, const StopRequested&)
{
    m_shutdown.signal(now);
}

void EngineState::announceLeave(Instant now)
{
    log(LogEvent::Stopping, { { "requests", std::to_string(m_coordinator.inFlight()) } });
    m_membership.leave(now);
    m_placementStale = true;
}

void EngineState::stopAccepting()
{
    m_actions.emplace_back(DrainCallers {});
}

void EngineState::reportCut()
{
    log(LogEvent::StopForced,
        { { "requests", std::to_string(m_coordinator.inFlight()) }, { "operations", std::to_string(operations()) } });
}

void EngineState::stop(bool cutsNothing)
{
    log(LogEvent::Stopped, {});
    m_actions.emplace_back(StopNow { cutsNothing ? 0 : 1 });
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
    return document() && m_knowsMembers && !m_shutdown.isStopping();
}

} // namespace Auburnpost
