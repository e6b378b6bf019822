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
    const GroupName groupName("group");

    /// Hosts relay at one address, each at a port of its own.
    SocketAddress relayOf(std::size_t index)
    {
        return { "10.9.0.1", static_cast<std::uint16_t>(index + 1) };
    }

    tl::unexpected<Error> storeAway()
    {
        return fail(ErrorCode::PlatformUnavailable, "call", "store", "no answer");
    }

    TargetReply failure(const TargetSide& side, const FakeTarget& target, FailureCode code)
    {
        return { Session::Failure { code, "" }, side.state, target.end(), {} };
    }

    TargetReply success(const TargetSide& side, const FakeTarget& target)
    {
        return { Session::Success { "signed", {} }, side.state, target.end(), {} };
    }

} // namespace

SimulatedHost::SimulatedHost(ProxySimulation& simulation, std::size_t index, std::uint64_t seed)
    : m_simulation(simulation)
    , m_index(index)
{
    ProxySettings settings;
    settings.host = HostName("host-" + std::to_string(index));
    settings.relay = relayOf(index);
    const RowReader& reader = *this;
    m_proxy = std::make_unique<Proxy>(simulation.now(), settings, reader, *this, seed);
    simulation.after(Duration(1), [this] { tick(); });
}

bool SimulatedHost::isFrozen() const
{
    return m_frozenUntil && m_simulation.now() < *m_frozenUntil;
}

void SimulatedHost::tick()
{
    if (!isFrozen())
        m_proxy->tick(m_simulation.now());
    m_simulation.after(Proxy::tickInterval, [this] { tick(); });
}

void SimulatedHost::deliver(std::function<void()> task)
{
    m_simulation.after(ProxySimulation::hop, [this, task = std::move(task)] {
        if (!isFrozen()) {
            task();
            return;
        }
        m_simulation.after(*m_frozenUntil - m_simulation.now() + Duration(1), task);
    });
}

void SimulatedHost::acceptSession(SessionId id)
{
    m_simulation.after(Duration(1), [this, id] { m_simulation.caller(m_index, id).accepted(); });
}

void SimulatedHost::refuseSession(SessionId id, const Session::Failure&)
{
    m_endings[id] = "refused";
}

void SimulatedHost::answer(SessionId id, const Session::Answer& answer)
{
    // The caller's next statement must not arrive from within the answer to its last one.
    m_simulation.after(Duration(1), [this, id, answer] { m_simulation.caller(m_index, id).answered(answer); });
}

void SimulatedHost::openConnection(
    ConnectionId id, const TargetRecord& record, const std::optional<SocketAddress>& relay)
{
    auto& link = m_links[id];
    link.target = record.name;
    link.id = id.value() * ProxySimulation::hostCount + m_index;
    link.via = relay ? relay->port - 1U : m_index;
    m_simulation.after(ProxySimulation::hop, [this, id] { connect(id); });
}

void SimulatedHost::connect(ConnectionId id)
{
    const auto link = m_links.find(id);
    if (link == m_links.end())
        return;
    const auto via = link->second.via;
    const bool isRelayed = via != m_index;
    if (isRelayed && m_simulation.isHostFrozen(via))
        return;
    const bool mayPass = !isRelayed || m_simulation.hostProxy(via).mayRelay(m_simulation.now(), link->second.target);
    if (mayPass && m_simulation.isCut(via, link->second.target))
        return;
    auto& target = *m_simulation.target(link->second.target);
    const bool stands = mayPass && target.isRunning;
    if (stands)
        target.connections[link->second.id] = {};
    deliver([this, id, stands] {
        if (!m_links.contains(id))
            return;
        if (stands)
            m_proxy->connectionOpened(m_simulation.now(), id, {});
        else
            m_proxy->connectionRefused(m_simulation.now(), id, FailureCode::Failed);
    });
}

void SimulatedHost::closeConnection(ConnectionId id)
{
    const auto link = m_links.extract(id);
    if (!link)
        return;
    const auto target = link.mapped().target;
    const auto side = link.mapped().id;
    m_simulation.after(
        ProxySimulation::hop, [this, target, side] { m_simulation.target(target)->connections.erase(side); });
}

void SimulatedHost::send(ConnectionId id, const std::vector<TargetRequest>& requests)
{
    const auto link = m_links.find(id);
    if (link == m_links.end())
        return;
    for (const auto& request : requests) {
        link->second.busyUntil = std::max(link->second.busyUntil, m_simulation.now() + ProxySimulation::hop)
            + m_simulation.between(Duration(500), serviceTime);
        m_simulation.after(link->second.busyUntil - m_simulation.now(), [this, id, request] { arrive(id, request); });
    }
}

bool SimulatedHost::isSilent(Link& link) const
{
    // What is lost in a cut holds up everything after it.
    link.isStuck = link.isStuck || m_simulation.isCut(link.via, link.target);
    return link.isStuck;
}

void SimulatedHost::arrive(ConnectionId id, const TargetRequest& request)
{
    const auto link = m_links.find(id);
    if (link == m_links.end() || isSilent(link->second))
        return;
    if (link->second.isCommitting) {
        link->second.waiting.push_back(request);
        return;
    }
    auto& target = *m_simulation.target(link->second.target);
    const auto side = target.connections.find(link->second.id);
    if (!target.isRunning || side == target.connections.end()) {
        deliver([this, id] {
            if (m_links.contains(id)) {
                m_links.erase(id);
                m_proxy->connectionLost(m_simulation.now(), id);
            }
        });
        link->second.isStuck = true;
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
    const auto link = m_links.find(id);
    if (link == m_links.end() || isSilent(link->second))
        return;
    constexpr double lostShare = 0.002;
    if (m_simulation.chance(lostShare)) {
        link->second.isStuck = true;
        return;
    }
    deliver([this, id, answer = std::move(answer)] {
        if (m_links.contains(id))
            m_proxy->replied(m_simulation.now(), id, answer);
    });
}

TargetReply SimulatedHost::run(FakeTarget& target, TargetSide& side, const TargetRequest& request)
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
        if (!target.holds(begin->after))
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
                 demote && target.isPrimary && demote->term > target.term)
            target.isPrimary = false;
        auto answer = success(side, target);
        answer.standing = target.standing();
        return answer;
    }
    return success(side, target);
}

void SimulatedHost::checkStatement(const FakeTarget& target, const TargetSide& side, const RunStatement& statement)
{
    const auto& caller = m_simulation.caller(m_index, SessionId(SimulatedCaller::sessionOf(statement.id)));
    m_simulation.checker().valuesAre(side.values, caller.values());
    if (caller.isInTransaction() && side.state != TransactionState::Open)
        m_simulation.checker().statementOutsideTransaction();
    if (statement.statement.kind == StatementKind::Read)
        m_simulation.checker().readRuns(m_simulation.now(), caller.unit(), target);
}

std::optional<TargetReply> SimulatedHost::runStatement(
    ConnectionId id, FakeTarget& target, TargetSide& side, const RunStatement& statement)
{
    if (!target.holds(statement.after))
        return failure(side, target, FailureCode::Lagging);
    const auto kind = statement.statement.kind;
    const bool isAlone = side.state == TransactionState::Idle;
    const bool writes = kind == StatementKind::Write;
    const bool lostLead = !isAlone && !side.isReadOnly && !target.isPrimary;
    if ((writes && !target.isPrimary) || (lostLead && (kind != StatementKind::Commit || !side.writes.empty()))) {
        if (!isAlone)
            side.state = kind == StatementKind::Commit ? TransactionState::Idle : TransactionState::Failed;
        side.writes.clear();
        return failure(side, target, FailureCode::ReadOnly);
    }
    checkStatement(target, side, statement);
    if (writes && isAlone)
        return end(id, target, side, { statement.statement.argument });
    if (writes)
        side.writes.push_back(statement.statement.argument);
    if (kind == StatementKind::Commit) {
        side.state = TransactionState::Idle;
        return end(id, target, side, std::exchange(side.writes, {}));
    }
    return success(side, target);
}

std::optional<TargetReply> SimulatedHost::end(
    ConnectionId id, FakeTarget& target, TargetSide& side, std::vector<std::string> writes)
{
    if (writes.empty())
        return success(side, target);
    for (const auto& write : writes)
        m_simulation.checker().writeRuns(write);
    const auto name = target.record.name;
    m_links.at(id).isCommitting = true;
    m_simulation.commit(name, writes, [this, id, name](LogPoint) { committed(id, name); });
    return {};
}

void SimulatedHost::committed(ConnectionId id, const TargetName& name)
{
    reply(id, success({}, *m_simulation.target(name)));
    const auto link = m_links.find(id);
    if (link == m_links.end())
        return;
    link->second.isCommitting = false;
    for (const auto& request : std::exchange(link->second.waiting, {}))
        arrive(id, request);
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
    page.asOf = m_simulation.storeVersion();
    if (table == StoreTable::Targets)
        page.rows = m_simulation.targetRows();
    else if (table == StoreTable::Hosts)
        for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host)
            page.rows.push_back({ "host-" + std::to_string(host), RowVersion(1),
                HostDirectory::encode({ {}, {}, relayOf(host), relayOf(host) }), false });
    else
        page.rows = { { "catalog", RowVersion(1), "", false } };
    return page;
}

void SimulatedHost::readTable(StoreTable table, const std::string&)
{
    deliver([this, table] {
        if (m_simulation.storeAnswers())
            m_proxy->tableRead(m_simulation.now(), table, page(table));
        else
            m_proxy->tableRead(m_simulation.now(), table, storeAway());
    });
}

void SimulatedHost::followTable(StoreTable table, RowVersion, Duration)
{
    constexpr Duration interval = std::chrono::milliseconds(100);
    m_simulation.after(interval, [this, table] {
        deliver([this, table] {
            if (m_simulation.storeAnswers())
                m_proxy->tableFollowed(m_simulation.now(), table, page(table));
            else
                m_proxy->tableFollowed(m_simulation.now(), table, storeAway());
        });
    });
}

void SimulatedHost::writeHost(const HostName&, const std::string&)
{
    deliver([this] { m_proxy->hostWritten(m_simulation.storeAnswers()); });
}

void SimulatedHost::readClaim(const GroupName& group)
{
    deliver([this, group] {
        if (m_simulation.storeAnswers())
            m_proxy->claimRead(m_simulation.now(), group, m_simulation.claim());
        else
            m_proxy->claimRead(m_simulation.now(), group, storeAway());
    });
}

void SimulatedHost::writeClaim(const GroupName& group, const Claim& claim, RowVersion expected)
{
    m_simulation.after(ProxySimulation::hop, [this, group, claim, expected] {
        if (!m_simulation.storeAnswers()) {
            deliver([this, group] { m_proxy->claimWritten(m_simulation.now(), group, storeAway()); });
            return;
        }
        const auto version = m_simulation.writeClaim(claim, expected);
        deliver([this, group, version] { m_proxy->claimWritten(m_simulation.now(), group, version); });
    });
}

void SimulatedHost::promote(const GroupName& group, const TargetName& target, RowVersion token, Instant sendBefore)
{
    if (const auto frozen = m_simulation.takeFreezeOfCaller())
        freeze(m_simulation.now() + *frozen);
    // There and back for the connection, then the call.
    m_simulation.after(ProxySimulation::hop, [this, group, target, token, sendBefore] {
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
    m_simulation.after(ProxySimulation::hop, [this, group, target, token] {
        m_simulation.promote(target, token.value(), "host-" + std::to_string(m_index));
        deliver([this, group] { m_proxy->promoteAnswered(m_simulation.now(), group, PromotionOutcome::Accepted); });
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
    return m_simulation.target(TargetName(row.key))->record;
}

} // namespace Auburnpost::Proxy
