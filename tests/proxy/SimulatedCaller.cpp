#include "proxy/SimulatedCaller.h"

#include "proxy/ProxySimulation.h"

namespace Auburnpost::Proxy {

using Session::StatementKind;
using namespace std::chrono_literals;

const std::map<std::string, ProxyChecker::Unit>& SimulatedCaller::routes()
{
    static const std::map<std::string, ProxyChecker::Unit> routes {
        { "current", { 0, Consistency::Current, {}, {} } },
        { "bounded", { 0, Consistency::BoundedStaleness, 1500ms, {} } },
        { "own", { 0, Consistency::ReadYourWrites, 2500ms, {} } },
    };
    return routes;
}

std::uint64_t SimulatedCaller::sessionOf(const Session::StatementId& id)
{
    return std::stoull(id.value());
}

Instant SimulatedCaller::begunAt(const Session::StatementId& id) const
{
    const auto number = std::stoull(id.value().substr(id.value().find('-') + 1));
    return std::prev(m_units.upper_bound(number))->second;
}

SimulatedCaller::SimulatedCaller(ProxySimulation& simulation, std::size_t host, SessionId id)
    : m_simulation(simulation)
    , m_host(host)
    , m_id(id)
{
    const auto& all = routes();
    const auto chosen = std::next(all.begin(), static_cast<std::ptrdiff_t>(id.value() % all.size()));
    m_database = chosen->first;
    m_unit = chosen->second;
    m_unit.session = id.value() * ProxySimulation::hostCount + host;
}

void SimulatedCaller::after(Duration delay, void (SimulatedCaller::*task)())
{
    m_simulation.after(delay, [this, task, session = m_brokenSessions] {
        if (session == m_brokenSessions)
            (this->*task)();
    });
}

void SimulatedCaller::connect()
{
    m_simulation.hostProxy(m_host).sessionOpened(m_simulation.now(), m_id, { DatabaseName(m_database) });
}

void SimulatedCaller::refused()
{
    after(500ms, &SimulatedCaller::connect);
}

void SimulatedCaller::disconnected()
{
    ++m_brokenSessions;
    m_unit.session += ProxySimulation::maxSessions;
    m_values.clear();
    m_isInTransaction = false;
    m_writes.clear();
}

void SimulatedCaller::accepted()
{
    scheduleNextUnit(m_simulation.between(1ms, 200ms));
}

void SimulatedCaller::scheduleNextUnit(Duration pause)
{
    m_isInTransaction = false;
    m_writes.clear();
    after(pause, &SimulatedCaller::startUnit);
}

void SimulatedCaller::send(StatementKind kind, std::string argument)
{
    m_kind = kind;
    Session::Statement statement;
    statement.kind = kind;
    statement.name = kind == StatementKind::SetValue ? "value" : "";
    statement.argument = std::move(argument);
    const Session::StatementId id(std::to_string(m_id.value()) + "-" + std::to_string(++m_sent));
    if (m_units.empty() || m_units.rbegin()->second != m_unit.begunAt)
        m_units[m_sent] = m_unit.begunAt;
    m_simulation.sendStatement(m_host, m_id, id, statement);
}

void SimulatedCaller::startUnit()
{
    if (m_isStopped)
        return;
    if (m_simulation.isHostPaused(m_host)) {
        scheduleNextUnit(50ms);
        return;
    }
    m_unit.begunAt = m_simulation.now();
    constexpr double valueShare = 0.1;
    constexpr double transactionShare = 0.3;
    constexpr double writeShare = 0.4;
    if (m_simulation.chance(valueShare)) {
        m_values["value"] = std::to_string(m_id.value());
        send(StatementKind::SetValue, m_values["value"]);
        return;
    }
    if (m_simulation.chance(transactionShare)) {
        m_isInTransaction = true;
        m_isReadOnly = m_simulation.chance(0.3);
        m_remainingStatements = 1 + m_simulation.random()() % 4;
        send(m_isReadOnly ? StatementKind::BeginReadOnly : StatementKind::Begin, "");
        return;
    }
    if (m_simulation.chance(writeShare)) {
        m_writes = { m_simulation.nextWrite() };
        send(StatementKind::Write, m_writes.back());
        return;
    }
    send(StatementKind::Read, "item");
}

void SimulatedCaller::sendNextOfTransaction()
{
    if (m_simulation.isHostPaused(m_host)) {
        after(50ms, &SimulatedCaller::sendNextOfTransaction);
        return;
    }
    if (m_remainingStatements == 0) {
        send(m_simulation.chance(0.2) ? StatementKind::Rollback : StatementKind::Commit, "");
        return;
    }
    --m_remainingStatements;
    if (!m_isReadOnly && m_simulation.chance(0.6)) {
        m_writes.push_back(m_simulation.nextWrite());
        send(StatementKind::Write, m_writes.back());
        return;
    }
    send(StatementKind::Read, "item");
}

void SimulatedCaller::recordWriteOutcomes(const Session::Answer& answer, bool isCommittedOnSuccess)
{
    const auto* const failure = std::get_if<Session::Failure>(&answer.body);
    for (const auto& write : m_writes) {
        // A write that was not committed was rolled back.
        const bool isNotRun = failure ? Session::guaranteesNotRun(failure->code) : !isCommittedOnSuccess;
        if (isNotRun)
            m_simulation.checker().recordNotRun(write);
        else if (!failure)
            m_simulation.checker().recordAcknowledged(m_simulation.now(), m_unit.session, write);
    }
}

void SimulatedCaller::answered(const Session::Answer& answer)
{
    const bool isFailure = std::holds_alternative<Session::Failure>(answer.body);
    const auto pause = m_simulation.between(1ms, 60ms);
    if (!m_isInTransaction || m_kind == StatementKind::Commit || m_kind == StatementKind::Rollback) {
        recordWriteOutcomes(answer, m_kind != StatementKind::Rollback);
        scheduleNextUnit(pause);
        return;
    }
    if (isFailure) {
        // A failure without effect holds for all writes of the transaction, as its commit is never sent.
        recordWriteOutcomes(answer, false);
        m_writes.clear();
        m_remainingStatements = 0;
        after(pause, &SimulatedCaller::rollBack);
        return;
    }
    after(pause, &SimulatedCaller::sendNextOfTransaction);
}

} // namespace Auburnpost::Proxy
