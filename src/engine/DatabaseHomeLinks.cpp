// The connections of a home: what comes in on them, and what its pools and group links ask for.
#include "engine/DatabaseHome.h"
#include "engine/HomeOperation.h"

#include <algorithm>

namespace Auburnpost {

bool DatabaseHome::holds(ConnectionId connection) const
{
    return m_links.holds(connection) || std::any_of(m_pools.begin(), m_pools.end(), [connection](const auto& entry) {
        return entry.second.holds(connection);
    });
}

void DatabaseHome::opened(Instant now, ConnectionId connection, const TargetStanding& standing)
{
    m_links.opened(now, connection);
    for (auto& [name, pool] : m_pools) {
        if (!pool.holds(connection))
            continue;
        apply(now, m_watch.standing(now, name, m_flights[connection].sentAt, standing));
        m_flights.erase(connection);
        pool.opened(now, connection);
        break;
    }
    dropFinished(now);
}

void DatabaseHome::answered(Instant now, const TargetAnswer& answer)
{
    if (m_links.holds(answer.connection)) {
        m_links.answered(now, answer);
        dropFinished(now);
        return;
    }
    const auto flight = m_flights.find(answer.connection);
    if (flight == m_flights.end())
        return;
    const auto [target, sentAt] = flight->second;
    m_flights.erase(flight);
    apply(now, m_watch.standing(now, target, sentAt, answer.standing));
    auto& pool = m_pools.at(target);
    if (m_rollingBack.erase(answer.connection)) {
        if (answer.fault)
            pool.release(now, answer.connection, ConnectionFate::Discard);
        else
            pool.rolledBack(now, answer.connection);
    } else if (const auto holder = pool.holder(answer.connection)) {
        if (auto* operation = find(*holder))
            operation->answered(now, answer);
    }
    dropFinished(now);
}

void DatabaseHome::lost(Instant now, const TargetConnectionLost& loss)
{
    m_links.lost(now, loss.connection, loss.error);
    m_flights.erase(loss.connection);
    m_rollingBack.erase(loss.connection);
    for (auto& [name, pool] : m_pools) {
        if (!pool.holds(loss.connection))
            continue;
        const bool wasUnreachable = pool.isUnreachable();
        const auto holder = pool.lost(now, loss.connection, m_random);
        if (holder)
            logTarget(LogEvent::TargetConnectionLost, name, loss.error.describe());
        if (!wasUnreachable && pool.isUnreachable())
            logTarget(LogEvent::TargetConnectFailed, name, loss.error.describe());
        auto* operation = holder ? find(*holder) : nullptr;
        if (operation)
            operation->connectionLost(now, loss.error);
        pool.pump(now);
        if (pool.isUnreachable())
            holdWaiting(name);
        break;
    }
    dropFinished(now);
}

ConnectionId DatabaseHome::openConnection(const TargetName& target)
{
    const auto connection = m_owner.nextConnection();
    const auto found = std::find_if(m_placement.targets.begin(), m_placement.targets.end(),
        [&target](const auto& placed) { return placed.name == target; });
    m_owner.actions().emplace_back(OpenConnection { connection, target, found->address, m_database });
    return connection;
}

void DatabaseHome::closeConnection(ConnectionId connection)
{
    m_flights.erase(connection);
    m_rollingBack.erase(connection);
    m_owner.actions().emplace_back(CloseConnection { connection });
}

void DatabaseHome::rollBackConnection(Instant now, ConnectionId connection)
{
    m_rollingBack.insert(connection);
    send(now, connection, { { "ROLLBACK", {} } });
}

void DatabaseHome::connectionGranted(Instant now, OperationId id, ConnectionId connection)
{
    m_waiting.erase(id);
    if (auto* operation = find(id))
        operation->granted(now, connection);
    else
        release(now, connection, ConnectionFate::Reuse);
}

void DatabaseHome::connectionRefused(
    Instant now, OperationId id, const Error& error, std::optional<Duration> retryAfter)
{
    m_waiting.erase(id);
    if (auto* operation = find(id))
        operation->refused(now, error, retryAfter);
}

void DatabaseHome::sendStatements(ConnectionId connection, std::vector<Statement> statements)
{
    m_owner.actions().emplace_back(TargetCommand { connection, m_owner.nextCommand(), std::move(statements) });
}

void DatabaseHome::groupCommandAnswered(
    Instant now, const TargetName& target, Group::CorrelationId correlation, const GroupStatus& status)
{
    apply(now, m_watch.status(now, target, correlation, status));
}

void DatabaseHome::groupCommandFailed(
    Instant now, const TargetName& target, Group::CorrelationId correlation, const Error& error)
{
    apply(now, m_watch.commandFailed(now, target, correlation, error));
}

} // namespace Auburnpost
