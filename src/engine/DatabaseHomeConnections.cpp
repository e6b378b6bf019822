// The connections of a home: events on them, and the requests of its pools and group connections.
#include "engine/DatabaseHome.h"
#include "engine/HomeOperation.h"

#include <algorithm>

namespace Auburnpost {

bool DatabaseHome::holds(ConnectionId connection) const
{
    return m_groupConnections.holds(connection)
        || std::any_of(
            m_pools.begin(), m_pools.end(), [connection](const auto& entry) { return entry.second.holds(connection); });
}

void DatabaseHome::handleConnectionOpened(Instant now, ConnectionId connection, const TargetStatus& targetStatus)
{
    m_groupConnections.handleConnectionOpened(now, connection);
    for (auto& [name, pool] : m_pools) {
        if (!pool.holds(connection))
            continue;
        perform(now, m_watch.handleTargetStatus(now, name, m_pendingCommands[connection].sentAt, targetStatus));
        m_pendingCommands.erase(connection);
        pool.handleConnectionOpened(now, connection);
        break;
    }
    removeFinished(now);
}

void DatabaseHome::handleAnswer(Instant now, const TargetAnswer& answer)
{
    if (m_groupConnections.holds(answer.connection)) {
        m_groupConnections.handleAnswer(now, answer);
        removeFinished(now);
        return;
    }
    const auto pendingCommand = m_pendingCommands.find(answer.connection);
    if (pendingCommand == m_pendingCommands.end())
        return;
    const auto [target, sentAt] = pendingCommand->second;
    m_pendingCommands.erase(pendingCommand);
    perform(now, m_watch.handleTargetStatus(now, target, sentAt, answer.targetStatus));
    auto& pool = m_pools.at(target);
    if (m_rollingBack.erase(answer.connection)) {
        if (answer.fault)
            pool.release(now, answer.connection, ConnectionDisposition::Discard);
        else
            pool.handleRollbackDone(now, answer.connection);
    } else if (const auto holder = pool.holder(answer.connection)) {
        if (auto* operation = find(*holder))
            operation->onAnswer(now, answer);
    }
    removeFinished(now);
}

void DatabaseHome::handleConnectionLoss(Instant now, const TargetConnectionLost& loss)
{
    m_groupConnections.handleConnectionLoss(now, loss.connection, loss.error);
    m_pendingCommands.erase(loss.connection);
    m_rollingBack.erase(loss.connection);
    for (auto& [name, pool] : m_pools) {
        if (!pool.holds(loss.connection))
            continue;
        const bool wasUnreachable = pool.isUnreachable();
        const auto holder = pool.handleConnectionLoss(now, loss.connection, m_random);
        if (holder)
            logTargetEvent(LogEvent::TargetConnectionLost, name, loss.error.describe());
        if (!wasUnreachable && pool.isUnreachable())
            logTargetEvent(LogEvent::TargetConnectFailed, name, loss.error.describe());
        auto* operation = holder ? find(*holder) : nullptr;
        if (operation)
            operation->onConnectionLost(now, loss.error);
        pool.pump(now);
        if (pool.isUnreachable())
            holdWaitingWrites(name);
        break;
    }
    removeFinished(now);
}

ConnectionId DatabaseHome::openConnection(const TargetName& target)
{
    const auto connection = m_delegate.nextConnection();
    const auto found = std::find_if(m_placement.targets.begin(), m_placement.targets.end(),
        [&target](const auto& configured) { return configured.name == target; });
    m_delegate.actions().emplace_back(OpenConnection { connection, target, found->address, m_database });
    return connection;
}

void DatabaseHome::closeConnection(ConnectionId connection)
{
    m_pendingCommands.erase(connection);
    m_rollingBack.erase(connection);
    m_delegate.actions().emplace_back(CloseConnection { connection });
}

void DatabaseHome::rollBackConnection(Instant now, ConnectionId connection)
{
    m_rollingBack.insert(connection);
    send(now, connection, { { "ROLLBACK", {} } });
}

void DatabaseHome::connectionGranted(Instant now, OperationId id, ConnectionId connection)
{
    m_waitingOperations.erase(id);
    if (auto* operation = find(id))
        operation->onConnectionGranted(now, connection);
    else
        release(now, connection, ConnectionDisposition::Reuse);
}

void DatabaseHome::connectionRefused(
    Instant now, OperationId id, const Error& error, std::optional<Duration> retryAfter)
{
    m_waitingOperations.erase(id);
    if (auto* operation = find(id))
        operation->onConnectionRefused(now, error, retryAfter);
}

void DatabaseHome::sendStatements(ConnectionId connection, std::vector<Statement> statements)
{
    m_delegate.actions().emplace_back(TargetCommand { connection, m_delegate.nextCommand(), std::move(statements) });
}

void DatabaseHome::groupCommandAnswered(
    Instant now, const TargetName& target, Group::CorrelationId correlation, const GroupStatus& status)
{
    perform(now, m_watch.handleCommandAnswer(now, target, correlation, status));
}

void DatabaseHome::groupCommandFailed(
    Instant now, const TargetName& target, Group::CorrelationId correlation, const Error& error)
{
    perform(now, m_watch.handleCommandFailure(now, target, correlation, error));
}

} // namespace Auburnpost
