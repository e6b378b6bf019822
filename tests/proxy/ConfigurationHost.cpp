#include "proxy/ConfigurationHost.h"

#include "proxy/ConfigurationSimulation.h"
#include "proxy/FakeTarget.h"

#include <cstdlib>
#include <iostream>

namespace Auburnpost::Proxy {

namespace {

    /// As of SessionForwarder, the time within which another host has to open a forwarded session.
    constexpr Duration forwardTimeout = std::chrono::milliseconds(300);
    /// From this host to a target.
    constexpr Duration targetDelay = std::chrono::milliseconds(1);

    SocketAddress addressOf(std::size_t host, std::uint16_t firstPort)
    {
        return { "10.9.0.1", static_cast<std::uint16_t>(firstPort + host) };
    }
    constexpr std::uint16_t relayPort = 100;
    constexpr std::uint16_t sessionsPort = 200;

} // namespace

ConfigurationHost::ConfigurationHost(ConfigurationSimulation& simulation, std::size_t index, std::uint64_t seed)
    : m_simulation(simulation)
    , m_index(index)
    , m_storeConnections(simulation.storeConnections())
{
    ProxySettings settings;
    settings.host = ConfigurationSimulation::hostName(index);
    settings.dataCentre = ConfigurationSimulation::dataCentreOf(index);
    settings.relay = addressOf(index, relayPort);
    settings.sessions = addressOf(index, sessionsPort);
    settings.peers = addressOf(index, peerPort);
    for (std::size_t host = 0; host < simulation.hostCount(); ++host)
        settings.seeds.push_back(addressOf(host, peerPort));
    const RowReader& reader = *this;
    m_proxy = std::make_unique<Proxy>(simulation.now(), settings, reader, *this, seed);
    simulation.after(Duration(1), [this] { tick(); });
}

void ConfigurationHost::tick()
{
    if (m_isKilled)
        return;
    if (!m_pausedUntil)
        m_proxy->tick(m_simulation.now());
    m_simulation.after(Proxy::tickInterval, [this] { tick(); });
}

void ConfigurationHost::pause(Instant until)
{
    m_pausedUntil = std::max(until, m_pausedUntil.value_or(until));
    m_simulation.after(*m_pausedUntil - m_simulation.now(), [this] { resume(); });
}

void ConfigurationHost::resume()
{
    if (!m_pausedUntil || m_simulation.now() < *m_pausedUntil)
        return;
    m_pausedUntil.reset();
    auto messages = std::exchange(m_keptMessages, {});
    auto timeouts = std::exchange(m_keptTimeouts, {});
    if (m_simulation.chance(0.5))
        std::swap(messages, timeouts);
    for (const auto& tasks : { messages, timeouts }) {
        for (const auto& task : tasks)
            run(m_keptMessages, task);
    }
}

void ConfigurationHost::kill()
{
    m_isKilled = true;
    m_connections.clear();
    for (const auto& [id, forward] : std::exchange(m_forwards, {}))
        closeAtHome(forward);
    for (const auto& [id, origin] : std::exchange(m_origins, {})) {
        auto* const host = origin.host;
        host->deliver(m_simulation.delayBetween(m_index, host->index()),
            [host, idAtHost = origin.idAtHost] { host->forwardEnded(idAtHost, false); });
    }
}

void ConfigurationHost::deliver(Duration delay, std::function<void()> task)
{
    m_simulation.after(delay, [this, task = std::move(task)] { run(m_keptMessages, task); });
}

void ConfigurationHost::runAfter(Duration delay, std::function<void()> task)
{
    m_simulation.after(delay, [this, task = std::move(task)] { run(m_keptTimeouts, task); });
}

void ConfigurationHost::run(std::vector<std::function<void()>>& kept, const std::function<void()>& task)
{
    if (m_isKilled)
        return;
    if (m_pausedUntil)
        kept.push_back(task);
    else
        task();
}

// Callers.

void ConfigurationHost::openSession(SessionId id, const DatabaseName& database)
{
    deliver(ConfigurationSimulation::callerDelay,
        [this, id, database] { m_proxy->sessionOpened(m_simulation.now(), id, { database }); });
}

void ConfigurationHost::sendStatement(SessionId id, const Session::StatementId& statement)
{
    deliver(ConfigurationSimulation::callerDelay, [this, id, statement] {
        const Session::Statement read { Session::StatementKind::Read, {}, {}, {}, "SELECT 1" };
        const auto forward = m_forwards.find(id);
        if (forward == m_forwards.end()) {
            m_proxy->statementArrived(m_simulation.now(), id, statement, read);
            return;
        }
        if (!forward->second.hasOpenRequest
            && !m_proxy->forwardedStatementArrived(m_simulation.now(), id, statement, read))
            return;
        forward->second.hasOpenRequest = true;
        auto* const home = forward->second.home;
        home->deliver(m_simulation.delayBetween(m_index, home->index()),
            [this, home, idAtHome = forward->second.idAtHome, statement, read] {
                home->m_proxy->statementArrived(m_simulation.now(), idAtHome, statement, read);
            });
    });
}

void ConfigurationHost::endSession(SessionId id)
{
    deliver(ConfigurationSimulation::callerDelay, [this, id] {
        if (const auto forward = m_forwards.extract(id))
            closeAtHome(forward.mapped());
        m_proxy->sessionClosed(m_simulation.now(), id);
    });
}

void ConfigurationHost::acceptSession(SessionId id)
{
    if (!tellOrigin(id, false, [](ConfigurationHost& host, SessionId own) { host.forwardAccepted(own); }))
        m_simulation.after(ConfigurationSimulation::callerDelay, [this, id] { m_simulation.accepted(id); });
}

void ConfigurationHost::refuseSession(SessionId id, const Session::Failure& failure)
{
    if (!tellOrigin(id, true, [failure, by = decider()](ConfigurationHost& host, SessionId own) {
            host.forwardRefused(own, failure, by);
        }))
        m_simulation.after(ConfigurationSimulation::callerDelay,
            [this, id, failure, decider = decider()] { m_simulation.refused(id, failure, decider); });
}

void ConfigurationHost::answer(SessionId id, const Session::Answer& answer)
{
    if (!tellOrigin(id, false, [answer, by = decider()](ConfigurationHost& host, SessionId own) {
            host.forwardAnswered(own, answer, by);
        }))
        m_simulation.after(ConfigurationSimulation::callerDelay,
            [this, id, answer, decider = decider()] { m_simulation.answered(id, answer, decider); });
}

void ConfigurationHost::closeSession(SessionId id)
{
    if (!tellOrigin(id, true, [](ConfigurationHost& host, SessionId own) { host.forwardEnded(own, true); }))
        m_simulation.after(ConfigurationSimulation::callerDelay, [this, id] { m_simulation.closed(id); });
}

// Forwarded sessions.

void ConfigurationHost::forwardSession(SessionId id, const SessionRequest& request, const HostEntry& entry)
{
    auto& home = m_simulation.host(ConfigurationSimulation::indexOf(entry.name));
    const auto idAtHome = m_simulation.nextForwardedSession();
    m_forwards[id] = { &home, idAtHome };
    const auto delay = m_simulation.delayBetween(m_index, home.index());
    const auto fail = [this, id, idAtHome] {
        const auto forward = m_forwards.find(id);
        if (forward != m_forwards.end() && forward->second.idAtHome == idAtHome && !forward->second.isAnswered)
            failForward(id, false);
    };
    if (home.isKilled()) {
        deliver(2 * delay, fail);
        return;
    }
    runAfter(forwardTimeout, fail);
    auto forwarded = request;
    forwarded.isForwarded = true;
    forwarded.key.reset();
    // The connection is opened first.
    home.deliver(
        3 * delay, [this, id, idAtHome, forwarded, &home] { home.forwardArrived(*this, id, idAtHome, forwarded); });
}

void ConfigurationHost::forwardArrived(
    ConfigurationHost& origin, SessionId idAtOrigin, SessionId id, const SessionRequest& request)
{
    m_origins[id] = { &origin, idAtOrigin };
    m_proxy->sessionOpened(m_simulation.now(), id, request);
}

bool ConfigurationHost::tellOrigin(
    SessionId id, bool isLast, const std::function<void(ConfigurationHost&, SessionId)>& report)
{
    if (!ConfigurationSimulation::isForwarded(id))
        return false;
    const auto origin = m_origins.find(id);
    if (origin == m_origins.end())
        return true;
    auto* const host = origin->second.host;
    host->deliver(
        m_simulation.delayBetween(m_index, host->index()), [host, report, id, idAtHost = origin->second.idAtHost] {
            // The session may have been closed, or forwarded elsewhere, since.
            const auto forward = host->m_forwards.find(idAtHost);
            if (forward != host->m_forwards.end() && forward->second.idAtHome == id)
                report(*host, idAtHost);
        });
    if (isLast)
        m_origins.erase(origin);
    return true;
}

void ConfigurationHost::forwardAccepted(SessionId id)
{
    m_forwards.at(id).isAnswered = true;
    m_simulation.after(ConfigurationSimulation::callerDelay, [this, id] { m_simulation.accepted(id); });
}

void ConfigurationHost::forwardRefused(
    SessionId id, const Session::Failure& failure, const ConfigurationChecker::Decider& decider)
{
    m_forwards.erase(id);
    m_proxy->sessionClosed(m_simulation.now(), id);
    m_simulation.after(ConfigurationSimulation::callerDelay,
        [this, id, failure, decider] { m_simulation.refused(id, failure, decider); });
}

void ConfigurationHost::forwardAnswered(
    SessionId id, const Session::Answer& answer, const ConfigurationChecker::Decider& decider)
{
    auto& forward = m_forwards.at(id);
    forward.hasOpenRequest = false;
    m_simulation.after(ConfigurationSimulation::callerDelay,
        [this, id, answer, decider] { m_simulation.answered(id, answer, decider); });
    if (forward.isEnding)
        forwardEnded(id, true);
}

void ConfigurationHost::forwardEnded(SessionId id, bool isClosed)
{
    const auto found = m_forwards.find(id);
    if (found == m_forwards.end())
        return;
    if (!found->second.isAnswered) {
        failForward(id, isClosed);
        return;
    }
    const auto forward = found->second;
    m_forwards.erase(found);
    closeAtHome(forward);
    if (forward.hasOpenRequest)
        m_proxy->forwardLost(m_simulation.now(), ConfigurationSimulation::hostName(forward.home->index()));
    m_proxy->sessionClosed(m_simulation.now(), id);
    m_simulation.after(ConfigurationSimulation::callerDelay, [this, id] { m_simulation.closed(id); });
}

void ConfigurationHost::stateRoute(SessionId id, const StatedRoute& route)
{
    const auto& forward = m_forwards.at(id);
    forward.home->deliver(m_simulation.delayBetween(m_index, forward.home->index()),
        [this, home = forward.home, idAtHome = forward.idAtHome, route] {
            home->m_proxy->routeStated(m_simulation.now(), idAtHome, route);
        });
}

void ConfigurationHost::stateVersion(SessionId id, ConfigVersion version)
{
    tellOrigin(
        id, false, [name = ConfigurationSimulation::hostName(m_index), version](ConfigurationHost& host, SessionId) {
            host.m_proxy->versionStated(host.m_simulation.now(), name, version);
        });
}

void ConfigurationHost::endForwardedSession(SessionId id)
{
    const auto forward = m_forwards.find(id);
    if (forward == m_forwards.end())
        return;
    forward->second.isEnding = true;
    if (forward->second.isAnswered && !forward->second.hasOpenRequest)
        forwardEnded(id, true);
}

void ConfigurationHost::failForward(SessionId id, bool isRefused)
{
    const auto forward = m_forwards.extract(id).mapped();
    closeAtHome(forward);
    m_proxy->forwardFailed(m_simulation.now(), id, ConfigurationSimulation::hostName(forward.home->index()), isRefused);
}

void ConfigurationHost::closeAtHome(const Forward& forward)
{
    auto* const home = forward.home;
    home->deliver(m_simulation.delayBetween(m_index, home->index()), [home, this, id = forward.idAtHome] {
        home->m_origins.erase(id);
        home->m_proxy->sessionClosed(m_simulation.now(), id);
    });
}

// Targets.

void ConfigurationHost::openConnection(
    ConnectionId id, const TargetRecord& record, const OrganisationName&, const std::optional<SocketAddress>&)
{
    m_connections[id] = record.group;
    deliver(2 * targetDelay, [this, id] {
        if (m_connections.contains(id))
            m_proxy->connectionOpened(m_simulation.now(), id, {});
    });
}

void ConfigurationHost::send(ConnectionId id, const std::vector<TargetRequest>& requests)
{
    for (const auto& request : requests)
        m_simulation.after(targetDelay, [this, id, request] { runRequest(id, request); });
}

void ConfigurationHost::runRequest(ConnectionId id, const TargetRequest& request)
{
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end())
        return;
    FakeTarget target;
    target.isPrimary = true;
    if (const auto* const statement = std::get_if<RunStatement>(&request))
        m_simulation.statementRun(statement->id, connection->second, decider());
    TargetReply reply { Session::Success { "signed", {} }, Session::TransactionState::Idle, target.logEnd(), {} };
    if (std::holds_alternative<QueryStatus>(request))
        reply.status = target.status();
    deliver(targetDelay, [this, id, reply] {
        if (m_connections.contains(id))
            m_proxy->replied(m_simulation.now(), id, reply);
    });
}

void ConfigurationHost::log(const LogRecord& record)
{
    if (record.event == LogEvent::ConfigurationApplied)
        m_version = std::stoul(record.fields.front().value);
    static const bool isTraced = std::getenv("PROXY_TRACE") != nullptr;
    if (!isTraced)
        return;
    std::cout << toMilliseconds(m_simulation.now().time_since_epoch()) << " host-" << m_index << ' '
              << describe(record.event);
    for (const auto& field : record.fields)
        std::cout << ' ' << field.name << '=' << field.value;
    std::cout << '\n';
}

Expected<std::optional<Catalog>> ConfigurationHost::readCatalog(const StoreRow& row) const
{
    return m_simulation.catalog(std::stoul(row.value));
}

Expected<TargetRecord> ConfigurationHost::readTarget(const StoreRow& row) const
{
    return m_simulation.targetOf(GroupName(row.value));
}

} // namespace Auburnpost::Proxy
