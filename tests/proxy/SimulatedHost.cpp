#include "proxy/SimulatedHost.h"

#include "proxy/ProxySimulation.h"

#include <cstdlib>
#include <iostream>

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

    constexpr Duration serviceTime = std::chrono::milliseconds(3);
    /// Timeout of a host's calls for the row of the promotion lease and for its own record.
    constexpr Duration storeCallTimeout = std::chrono::milliseconds(900);
    const GroupName groupName("group");

    /// All hosts relay at the same IP address, each at its own port.
    SocketAddress relayOf(std::size_t index)
    {
        return { "10.9.0.1", static_cast<std::uint16_t>(index + 1) };
    }

    /// All hosts answer peers at the same IP address, each at its own port.
    SocketAddress peerAddressOf(std::size_t index)
    {
        return { "10.9.0.2", static_cast<std::uint16_t>(index + 1) };
    }

    EventStream streamOf(ConnectionId id)
    {
        return { EventSource::Connection, id.value() };
    }

    tl::unexpected<Error> storeUnavailable()
    {
        return fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
    }

    TargetReply failure(const FakeTargetConnection& side, const FakeTarget& target, FailureCode code)
    {
        return { Session::Failure { code, "" }, side.state, target.logEnd(), {} };
    }

    TargetReply success(const FakeTargetConnection& side, const FakeTarget& target)
    {
        return { Session::Success { "signed", {} }, side.state, target.logEnd(), {} };
    }

} // namespace

SimulatedHost::SimulatedHost(ProxySimulation& simulation, std::size_t index, std::uint64_t seed, std::size_t start)
    : m_simulation(simulation)
    , m_index(index)
    , m_start(start)
{
    ProxySettings settings;
    settings.host = HostName("host-" + std::to_string(index));
    settings.relay = relayOf(index);
    if (simulation.hasChangingMembers()) {
        settings.peers = peerAddressOf(index);
        for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host)
            settings.seeds.push_back(peerAddressOf(host));
    }
    const RowReader& reader = *this;
    m_proxy = std::make_unique<Proxy>(simulation.now(), settings, reader, *this, seed);
    simulation.after(Duration(1), [this] { tick(); });
}

bool SimulatedHost::isPaused() const
{
    return m_isKilled || (m_pausedUntil && m_simulation.now() < *m_pausedUntil);
}

void SimulatedHost::kill()
{
    m_isKilled = true;
    m_simulation.after(ProxySimulation::oneWayDelay, [this] {
        for (const auto& [id, connection] : m_connections)
            m_simulation.target(connection.target)->connections.erase(connection.id);
        m_connections.clear();
    });
}

void SimulatedHost::loseConnectionsVia(std::size_t host)
{
    for (auto& [id, connection] : m_connections) {
        if (host == m_index || connection.viaHost != host)
            continue;
        connection.isStuck = true;
        m_simulation.target(connection.target)->connections.erase(connection.id);
        deliver(
            [this, lost = id] {
                if (m_connections.erase(lost) > 0)
                    m_proxy->connectionLost(m_simulation.now(), lost);
            },
            streamOf(id));
    }
}

void SimulatedHost::tick()
{
    if (m_isKilled)
        return;
    if (!isPaused())
        m_proxy->tick(m_simulation.now());
    const auto delay = m_delays ? m_delays->delayOf(m_simulation.now(), {}) : Duration {};
    m_simulation.after(Proxy::tickInterval + delay, [this] { tick(); });
}

void SimulatedHost::deliver(std::function<void()> task, const EventStream& stream)
{
    m_simulation.after(ProxySimulation::oneWayDelay, [this, stream, task = std::move(task)] { handle(task, stream); });
}

void SimulatedHost::handle(std::function<void()> task, const EventStream& stream)
{
    const auto delay = m_delays ? m_delays->delayOf(m_simulation.now(), stream) : Duration {};
    if (delay == Duration {})
        runUnlessPaused(task);
    else
        m_simulation.after(delay, [this, task = std::move(task)] { runUnlessPaused(task); });
}

void SimulatedHost::runUnlessPaused(const std::function<void()>& task)
{
    if (!isPaused()) {
        task();
        return;
    }
    if (m_isKilled)
        return;
    m_simulation.after(*m_pausedUntil - m_simulation.now() + Duration(1), [this, task] {
        if (!m_isKilled)
            task();
    });
}

void SimulatedHost::receiveStatement(
    SessionId session, const Session::StatementId& id, const Session::Statement& statement)
{
    handle([this, session, id, statement] { m_proxy->statementArrived(m_simulation.now(), session, id, statement); },
        { EventSource::Session, session.value() });
}

void SimulatedHost::acceptSession(SessionId id)
{
    m_simulation.after(Duration(1), [this, id] {
        if (!m_isKilled)
            m_simulation.caller(m_index, id).accepted();
    });
}

void SimulatedHost::refuseSession(SessionId id, const Session::Failure&)
{
    m_endings[id] = "refused";
    if (m_simulation.hasChangingMembers())
        m_simulation.caller(m_index, id).refused();
}

void SimulatedHost::answer(SessionId id, const Session::Answer& answer)
{
    // Delayed because the caller's next statement must not arrive from within the answer to its last one.
    m_simulation.after(Duration(1), [this, id, answer] {
        if (!m_isKilled)
            m_simulation.caller(m_index, id).answered(answer);
    });
}

void SimulatedHost::openConnection(
    ConnectionId id, const TargetRecord& record, const OrganisationName&, const std::optional<SocketAddress>& relay)
{
    auto& connection = m_connections[id];
    connection.target = record.name;
    constexpr std::uint64_t maxConnections = 1'000'000;
    connection.id = (m_start * maxConnections + id.value()) * ProxySimulation::hostCount + m_index;
    connection.viaHost = relay ? relay->port - 1U : m_index;
    m_simulation.after(ProxySimulation::oneWayDelay, [this, id] { connect(id); });
}

void SimulatedHost::connect(ConnectionId id)
{
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end())
        return;
    const auto via = connection->second.viaHost;
    const bool isRelayed = via != m_index;
    if (isRelayed && (m_simulation.isHostPaused(via) || !m_simulation.isRelaying()))
        return;
    const bool mayPass
        = !isRelayed || m_simulation.hostProxy(via).mayRelay(m_simulation.now(), connection->second.target);
    if (mayPass && m_simulation.isCut(via, connection->second.target))
        return;
    auto& target = *m_simulation.target(connection->second.target);
    const bool isReachable = mayPass && target.isRunning;
    const auto refusal = mayPass && target.isGone && m_simulation.targetAtAddressOf(target.record.name)
        ? FailureCode::Misrouted
        : FailureCode::Failed;
    if (isReachable)
        target.connections[connection->second.id] = {};
    deliver(
        [this, id, isReachable, refusal] {
            if (!m_connections.contains(id))
                return;
            if (isReachable)
                m_proxy->connectionOpened(m_simulation.now(), id, {});
            else
                m_proxy->connectionRefused(m_simulation.now(), id, refusal);
        },
        streamOf(id));
}

void SimulatedHost::closeConnection(ConnectionId id)
{
    const auto connection = m_connections.extract(id);
    if (!connection)
        return;
    const auto target = connection.mapped().target;
    const auto targetSideId = connection.mapped().id;
    m_simulation.after(ProxySimulation::oneWayDelay,
        [this, target, targetSideId] { m_simulation.target(target)->connections.erase(targetSideId); });
}

void SimulatedHost::send(ConnectionId id, const std::vector<TargetRequest>& requests)
{
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end())
        return;
    for (const auto& request : requests) {
        connection->second.busyUntil
            = std::max(connection->second.busyUntil, m_simulation.now() + ProxySimulation::oneWayDelay)
            + m_simulation.between(Duration(500), serviceTime);
        m_simulation.after(
            connection->second.busyUntil - m_simulation.now(), [this, id, request] { handleRequest(id, request); });
    }
}

bool SimulatedHost::updateStuck(HostConnection& connection) const
{
    // A message lost in a partition blocks every later message on the connection.
    connection.isStuck = connection.isStuck || m_simulation.isCut(connection.viaHost, connection.target);
    return connection.isStuck;
}

void SimulatedHost::handleRequest(ConnectionId id, const TargetRequest& request)
{
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end() || updateStuck(connection->second))
        return;
    if (connection->second.isCommitting) {
        connection->second.waiting.push_back(request);
        return;
    }
    auto& target = *m_simulation.target(connection->second.target);
    const auto side = target.connections.find(connection->second.id);
    if (!target.isRunning || side == target.connections.end()) {
        deliver(
            [this, id] {
                if (m_connections.contains(id)) {
                    m_connections.erase(id);
                    m_proxy->connectionLost(m_simulation.now(), id);
                }
            },
            streamOf(id));
        connection->second.isStuck = true;
        return;
    }
    if (const auto* const statement = std::get_if<RunStatement>(&request)) {
        if (auto answer = runStatement(id, target, side->second, *statement))
            reply(id, std::move(*answer));
        return;
    }
    reply(id, run(target, side->second, request));
}

void SimulatedHost::reply(ConnectionId id, TargetReply answer)
{
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end() || updateStuck(connection->second))
        return;
    constexpr double lostShare = 0.002;
    if (m_simulation.chance(lostShare)) {
        connection->second.isStuck = true;
        return;
    }
    deliver(
        [this, id, answer = std::move(answer)] {
            if (m_connections.contains(id))
                m_proxy->replied(m_simulation.now(), id, answer);
        },
        streamOf(id));
}

TargetReply SimulatedHost::run(FakeTarget& target, FakeTargetConnection& side, const TargetRequest& request)
{
    if (std::holds_alternative<ResetConnection>(request)) {
        side.values.clear();
        side.prepared.clear();
    } else if (const auto* const set = std::get_if<SetValue>(&request)) {
        side.values[set->name] = set->value;
    } else if (const auto* const prepare = std::get_if<PrepareStatement>(&request)) {
        side.prepared[prepare->name] = prepare->prepared;
    } else if (std::holds_alternative<RollbackTransaction>(request)) {
        side.state = TransactionState::Idle;
        side.writes.clear();
    } else if (const auto* const begin = std::get_if<BeginTransaction>(&request)) {
        if (!begin->isReadOnly && !target.isPrimary)
            return failure(side, target, FailureCode::ReadOnly);
        if (!target.holds(begin->requiredLogPoint))
            return failure(side, target, FailureCode::Lagging);
        side.state = TransactionState::Open;
        side.isReadOnly = begin->isReadOnly;
        side.writes.clear();
    } else {
        if (const auto* const fence = std::get_if<FenceReplica>(&request); fence && !target.isPrimary)
            target.fencedTerm = fence->term;
        else if (std::holds_alternative<ResumeReplica>(request))
            target.fencedTerm = {};
        else if (const auto* const demote = std::get_if<DemotePrimary>(&request);
                 demote && target.isPrimary && demote->term > target.term) {
            target.isPrimary = false;
            m_simulation.recordDemotion(m_index);
        }
        auto answer = success(side, target);
        answer.status = target.status();
        return answer;
    }
    return success(side, target);
}

void SimulatedHost::checkStatement(
    const FakeTarget& target, const FakeTargetConnection& side, const RunStatement& statement)
{
    // The caller's state is already that of its next session.
    if (m_isKilled)
        return;
    const auto& caller = m_simulation.caller(m_index, SessionId(SimulatedCaller::sessionOf(statement.id)));
    m_simulation.checker().checkValues(side.values, caller.values());
    if (caller.isInTransaction() && side.state != TransactionState::Open)
        m_simulation.checker().recordOutsideTransaction();
    const bool isSingle = side.state == TransactionState::Idle;
    if (isSingle ? statement.statement.kind == StatementKind::Write : !side.isReadOnly)
        m_simulation.checker().checkPrimaryStatement(caller.begunAt(statement.id), target);
    if (statement.statement.kind == StatementKind::Read)
        m_simulation.checker().checkRead(m_simulation.now(), caller.unit(), target);
}

std::optional<TargetReply> SimulatedHost::runStatement(
    ConnectionId id, FakeTarget& target, FakeTargetConnection& side, const RunStatement& statement)
{
    if (!target.holds(statement.requiredLogPoint))
        return failure(side, target, FailureCode::Lagging);
    const auto kind = statement.statement.kind;
    const bool isSingle = side.state == TransactionState::Idle;
    const bool writes = kind == StatementKind::Write;
    const bool lostPrimaryRole = !isSingle && !side.isReadOnly && !target.isPrimary;
    if ((writes && !target.isPrimary) || (lostPrimaryRole && (kind != StatementKind::Commit || !side.writes.empty()))) {
        if (!isSingle)
            side.state = kind == StatementKind::Commit ? TransactionState::Idle : TransactionState::Failed;
        side.writes.clear();
        return failure(side, target, FailureCode::ReadOnly);
    }
    checkStatement(target, side, statement);
    if (writes && isSingle)
        return commitWrites(id, target, side, { statement.statement.argument });
    if (writes)
        side.writes.push_back(statement.statement.argument);
    if (kind == StatementKind::Commit) {
        side.state = TransactionState::Idle;
        return commitWrites(id, target, side, std::exchange(side.writes, {}));
    }
    return success(side, target);
}

std::optional<TargetReply> SimulatedHost::commitWrites(
    ConnectionId id, FakeTarget& target, FakeTargetConnection& side, std::vector<std::string> writes)
{
    if (writes.empty())
        return success(side, target);
    for (const auto& write : writes)
        m_simulation.checker().recordWriteRun(write);
    const auto name = target.record.name;
    m_connections.at(id).isCommitting = true;
    m_simulation.commit(name, writes, [this, id, name](LogPoint) { handleCommitted(id, name); });
    return {};
}

void SimulatedHost::handleCommitted(ConnectionId id, const TargetName& name)
{
    reply(id, success({}, *m_simulation.target(name)));
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end())
        return;
    connection->second.isCommitting = false;
    for (const auto& request : std::exchange(connection->second.waiting, {}))
        handleRequest(id, request);
}

void SimulatedHost::log(const LogRecord& record)
{
    static const bool isTraced = std::getenv("PROXY_TRACE") != nullptr;
    if (!isTraced)
        return;
    std::cout << toMilliseconds(m_simulation.now().time_since_epoch()) << " host-" << m_index << ' '
              << describe(record.event);
    for (const auto& field : record.fields)
        std::cout << ' ' << field.name << '=' << field.value;
    std::cout << '\n';
}

StorePage SimulatedHost::page(StoreTable table) const
{
    StorePage page;
    page.asOf = m_simulation.store().version();
    if (table == StoreTable::Targets)
        return m_simulation.store().targets();
    if (table == StoreTable::Hosts)
        for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host)
            page.rows.push_back({ "host-" + std::to_string(host), RowVersion(1),
                HostDirectory::encode({ {}, {}, relayOf(host), relayOf(host) }), false });
    else
        page.rows = { { "catalog", RowVersion(1), "", false } };
    return page;
}

StorePage SimulatedHost::changes(StoreTable table, RowVersion after) const
{
    return table == StoreTable::Targets ? m_simulation.store().targetsChangedAfter(after) : page(table);
}

void SimulatedHost::deliverFromStore(Instant sentAt, Duration timeout, const std::function<void(bool isAnswered)>& task)
{
    auto& store = m_simulation.store();
    const auto answerAt = m_simulation.now() + store.delay() + ProxySimulation::oneWayDelay;
    const bool isLost = store.isHostCut(m_index, sentAt) || store.isHostCut(m_index, answerAt);
    const auto timeoutAt = std::max(sentAt + timeout, m_simulation.now());
    if (isLost || (store.delay() > Duration {} && answerAt > timeoutAt))
        m_simulation.after(timeoutAt - m_simulation.now(), [this, task] { deliver([task] { task(false); }); });
    else if (store.delay() > Duration {})
        m_simulation.after(store.delay(), [this, task] { deliver([task] { task(true); }); });
    else
        deliver([this, task] { task(m_simulation.store().isAnswering()); });
}

void SimulatedHost::readTable(StoreTable table, const std::string&, Duration timeout, StoreCallSlot slot)
{
    const auto call = startTableCall(table, slot);
    deliverFromStore(m_simulation.now(), timeout, [this, table, slot, call](bool isAnswered) {
        if (m_tableCalls[{ table, slot }] != call)
            return;
        if (isAnswered && !keepsList(table))
            m_proxy->tableRead(m_simulation.now(), table, page(table), slot);
        else
            m_proxy->tableRead(m_simulation.now(), table, storeUnavailable(), slot);
    });
}

void SimulatedHost::followTable(StoreTable table, RowVersion after, Duration, Duration timeout, StoreCallSlot slot)
{
    constexpr Duration interval = std::chrono::milliseconds(100);
    const auto call = startTableCall(table, slot);
    m_simulation.after(interval, [this, table, after, timeout, slot, call, sentAt = m_simulation.now()] {
        deliverFromStore(sentAt, timeout, [this, table, after, slot, call](bool isAnswered) {
            if (m_tableCalls[{ table, slot }] != call)
                return;
            if (isAnswered && !keepsList(table))
                m_proxy->tableFollowed(m_simulation.now(), table, changes(table, after), slot);
            else
                m_proxy->tableFollowed(m_simulation.now(), table, storeUnavailable(), slot);
        });
    });
}

bool SimulatedHost::keepsList(StoreTable table) const
{
    return table == StoreTable::Targets && m_simulation.now() < m_listKeptUntil;
}

std::uint64_t SimulatedHost::startTableCall(StoreTable table, StoreCallSlot slot)
{
    return m_tableCalls[{ table, slot }] = ++m_lastTableCall;
}

void SimulatedHost::cancelCall(StoreTable table, StoreCallSlot slot)
{
    m_tableCalls[{ table, slot }] = 0;
}

void SimulatedHost::readMembers(const GroupName& group, const std::string&)
{
    deliverFromStore(m_simulation.now(), storeCallTimeout, [this, group](bool isAnswered) {
        if (isAnswered)
            m_proxy->membersRead(m_simulation.now(), group, page(StoreTable::Targets));
        else
            m_proxy->membersRead(m_simulation.now(), group, storeUnavailable());
    });
}

void SimulatedHost::writeHost(const HostName&, const std::string&)
{
    deliverFromStore(
        m_simulation.now(), storeCallTimeout, [this](bool isAnswered) { m_proxy->hostWritten(isAnswered); });
}

void SimulatedHost::readLease(const GroupName& group)
{
    deliverFromStore(m_simulation.now(), storeCallTimeout, [this, group](bool isAnswered) {
        if (isAnswered)
            m_proxy->leaseRead(m_simulation.now(), group, m_simulation.store().lease());
        else
            m_proxy->leaseRead(m_simulation.now(), group, storeUnavailable());
    });
}

void SimulatedHost::writeLease(const GroupName& group, const PromotionLease& lease, RowVersion expected)
{
    const auto sentAt = m_simulation.now();
    if (m_simulation.store().isHostCut(m_index, sentAt)) {
        deliverFromStore(sentAt, storeCallTimeout,
            [this, group](bool) { m_proxy->leaseWritten(m_simulation.now(), group, storeUnavailable()); });
        return;
    }
    m_simulation.after(ProxySimulation::oneWayDelay + m_simulation.store().delay(), [=, this] {
        if (!m_simulation.store().isAnswering()) {
            deliver([this, group] { m_proxy->leaseWritten(m_simulation.now(), group, storeUnavailable()); });
            return;
        }
        // The write is done even if its answer comes too late or is lost.
        const auto version = m_simulation.store().writeLease(lease, expected);
        answerLeaseWrite(group, version, sentAt);
    });
}

void SimulatedHost::answerLeaseWrite(const GroupName& group, const std::optional<RowVersion>& version, Instant sentAt)
{
    const auto answerAt = m_simulation.now() + ProxySimulation::oneWayDelay;
    const auto timeoutAt = std::max(sentAt + storeCallTimeout, m_simulation.now());
    if (answerAt > timeoutAt || m_simulation.store().isHostCut(m_index, answerAt))
        m_simulation.after(timeoutAt - m_simulation.now(), [this, group] {
            deliver([this, group] { m_proxy->leaseWritten(m_simulation.now(), group, storeUnavailable()); });
        });
    else
        deliver([this, group, version] { m_proxy->leaseWritten(m_simulation.now(), group, version); });
}

void SimulatedHost::queryPeer(const SocketAddress& address)
{
    const auto peer = static_cast<std::size_t>(address.port - 1U);
    m_simulation.after(ProxySimulation::oneWayDelay, [this, address, peer] {
        if (m_simulation.isHostPaused(peer) || m_simulation.isIsolated(m_index) || m_simulation.isIsolated(peer))
            return;
        deliver([this, address, tables = m_simulation.hostProxy(peer).tables()] {
            m_proxy->peerAnswered(m_simulation.now(), address, tables);
        });
    });
}

void SimulatedHost::promote(const GroupName& group, const TargetName& target, RowVersion token, Instant sendBefore)
{
    if (const auto pauseLength = m_simulation.takePromotionCallerPause())
        pause(m_simulation.now() + *pauseLength);
    // Two hops open the connection, then the call is sent.
    m_simulation.after(ProxySimulation::oneWayDelay, [this, group, target, token, sendBefore] {
        deliver([this, group, target, token, sendBefore] {
            if (m_simulation.now() < sendBefore)
                sendPromotion(group, target, token);
            else
                m_proxy->promoteAnswered(m_simulation.now(), group, PromotionOutcome::NotDone);
        });
    });
}

void SimulatedHost::sendPromotion(const GroupName& group, const TargetName& target, RowVersion token)
{
    m_simulation.after(ProxySimulation::oneWayDelay, [this, group, target, token] {
        const auto outcome = m_simulation.promote(target, token.value(), m_index);
        const auto answer = [this, group, outcome] {
            deliver([this, group, outcome] {
                m_proxy->promoteAnswered(m_simulation.now(), group, outcome.value_or(PromotionOutcome::Unanswered));
            });
        };
        if (outcome)
            answer();
        else
            m_simulation.after(Promotion::callTimeout, answer);
    });
}

Expected<std::optional<Catalog>> SimulatedHost::readCatalog(const StoreRow&) const
{
    Catalog catalog;
    catalog.version = ConfigVersion(1);
    catalog.groups[groupName] = { 100, ProxySimulation::syncReplicas };
    catalog.transactionIdleLimit = std::chrono::seconds(3);
    for (const auto& [database, unit] : SimulatedCaller::routes())
        catalog.routes[DatabaseName(database)]
            = { groupName, unit.consistency, std::chrono::milliseconds(800), 1, unit.maxStaleness };
    return catalog;
}

Expected<TargetRecord> SimulatedHost::readTarget(const StoreRow& row) const
{
    return m_simulation.store().decode(row);
}

} // namespace Auburnpost::Proxy
