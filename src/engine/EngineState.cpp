#include "engine/EngineState.h"

#include "engine/HomeOperation.h"
#include "engine/PeerCodec.h"
#include "member/HomePlacement.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost {

namespace {

    /// A host that has started waits for this long after the last host that joined before it places homes.
    constexpr Duration joinQuiet = std::chrono::milliseconds(700);
    /// It waits no longer than this in all, as it may be alone.
    constexpr Duration joinLimit = std::chrono::seconds(4);
    /// Changes of members and document that come closer together are put into force at once.
    constexpr Duration placementInterval = std::chrono::milliseconds(100);
    /// While no other host is known the list is read this often.
    constexpr Duration aloneListInterval = std::chrono::seconds(1);
    /// A home that another host has taken over keeps answering for this long.
    constexpr Duration retireDelay = std::chrono::seconds(5);

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

    HomeSettings homeSettings(const Config::Settings& settings)
    {
        HomeSettings result;
        result.group.probeInterval = settings.group.probeInterval;
        result.group.silenceLimit = settings.group.suspectAfter;
        result.group.commandLimit = settings.group.operationTimeout;
        result.group.rankSpacing = settings.group.rankSpacing;
        result.transaction = { settings.limits.transactionIdle, settings.limits.transactionMax };
        result.queueLength = settings.limits.queueLength;
        return result;
    }

    Route::Signer signer(const Config::Settings& settings)
    {
        const auto& previous = settings.session.previousKey;
        return Route::Signer(settings.session.signingKey, previous.empty() ? std::nullopt : std::optional(previous));
    }

    Member::PlacementDemand demandOf(const DatabaseName& name, const Config::DatabasePlacement& placement)
    {
        Member::PlacementDemand demand { name, placement.targets.front().dataCentre, {}, placement.homes };
        for (const auto& target : placement.targets)
            demand.replicaDataCentres.push_back(target.dataCentre);
        return demand;
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

// Members and homes

void EngineState::apply(Instant now, const Member::MembershipActions& actions)
{
    for (const auto& action : actions)
        std::visit([this, now](const auto& alternative) { apply(now, alternative); }, action);
}

void EngineState::apply(Instant, const Member::SendDatagram& datagram)
{
    m_actions.emplace_back(SendGossip { datagram.to, datagram.bytes });
}

void EngineState::apply(Instant now, const Member::HostChanged& changed)
{
    using Member::HostChange;
    const std::vector<LogField> fields { { "host", changed.record.host.name.value() },
        { "incarnation", std::to_string(changed.record.host.incarnation.value()) } };
    switch (changed.change) {
    case HostChange::Joined:
    case HostChange::Renewed:
        m_lastJoin = now;
        log(LogEvent::HostJoined, fields);
        break;
    case HostChange::Suspected:
        log(LogEvent::HostSuspected, fields);
        return;
    case HostChange::Cleared:
        return;
    case HostChange::Leaving:
        log(LogEvent::HostLeaving, fields);
        break;
    case HostChange::Dead:
        log(LogEvent::HostDead, fields);
        m_actions.emplace_back(DropPeer { changed.record.host.peers });
        break;
    }
    // A new incarnation that comes of a refuted suspicion holds all that the old one held.
    auto& started = m_startOfHost[changed.record.host.name];
    const bool restarted = started != Incarnation {} && started != changed.record.host.started;
    started = changed.record.host.started;
    if (changed.change == HostChange::Dead || restarted)
        m_coordinator.hostLost(now, changed.record.host.name);
    m_placementStale = true;
}

void EngineState::settleMembers(Instant now)
{
    if (m_knowsMembers)
        return;
    const bool isAlone = m_membership.liveHosts().size() == 1;
    const bool isQuiet = !isAlone && now - m_lastJoin >= joinQuiet;
    if (!isQuiet && now - m_startedAt < joinLimit)
        return;
    m_knowsMembers = true;
    m_placementStale = true;
}

std::vector<HomeRef> EngineState::homesOf(const DatabaseName& database) const
{
    std::vector<HomeRef> homes;
    const auto found = m_homeNames.find(database);
    if (found == m_homeNames.end())
        return homes;
    for (const auto& name : found->second) {
        if (auto home = host(name))
            homes.push_back(std::move(*home));
    }
    return homes;
}

std::optional<HomeRef> EngineState::host(const HostName& name) const
{
    if (name == m_settings.host.name)
        return HomeRef { name, m_settings.host.dataCentre, m_settings.listen.peers };
    const auto* record = m_membership.find(name);
    if (!record || !record->isLive())
        return std::nullopt;
    return HomeRef { name, record->host.dataCentre, record->host.peers };
}

void EngineState::placeHomes(Instant now)
{
    if (!document() || !m_knowsMembers)
        return;
    m_placementStale = false;
    m_lastPlacement = now;
    const Member::HomePlacement placement(m_membership.liveHosts());
    m_homeNames.clear();
    for (const auto& [name, demand] : document()->databases) {
        auto& homes = m_homeNames[name];
        homes = placement.homes(demandOf(name, demand));
        const bool isHome = std::find(homes.begin(), homes.end(), m_settings.host.name) != homes.end();
        if (isHome)
            openHome(now, name, demand);
        const auto found = m_homes.find(name);
        if (found == m_homes.end())
            continue;
        found->second.home->setWatchers(now, homes);
        found->second.home->setRetired(!isHome);
        if (isHome)
            found->second.retiredAt.reset();
        else if (!found->second.retiredAt)
            found->second.retiredAt = now;
    }
    applyMaintenance(now);
}

void EngineState::openHome(Instant now, const DatabaseName& name, const Config::DatabasePlacement& placement)
{
    auto& entry = m_homes[name];
    const auto sameTargets = [&] {
        const auto& held = entry.home->placement().targets;
        return std::equal(held.begin(), held.end(), placement.targets.begin(), placement.targets.end(),
            [](const auto& left, const auto& right) {
                return left.name == right.name && left.address == right.address;
            });
    };
    if (entry.home && sameTargets())
        return;
    if (entry.home)
        entry.home->shutDown(now);
    entry.home = std::make_unique<DatabaseHome>(now, name, m_settings.host.name, m_settings.host.dataCentre,
        m_incarnation, placement, homeSettings(m_settings), m_random, *this);
}

void EngineState::retireHomes(Instant now)
{
    std::erase_if(m_homes, [now](auto& item) {
        auto& entry = item.second;
        if (!entry.retiredAt || now - *entry.retiredAt < retireDelay || entry.home->operations() > 0)
            return false;
        entry.home->shutDown(now);
        return true;
    });
}

void EngineState::applyMaintenance(Instant now)
{
    for (auto& [name, entry] : m_homes) {
        const auto wish = document()->maintenance.switches.find(name);
        entry.home->setMaintenance(now, document()->maintenance.leavingTargets,
            wish == document()->maintenance.switches.end() ? std::nullopt : std::optional(wish->second));
    }
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
