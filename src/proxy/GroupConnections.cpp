#include "proxy/GroupService.h"

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

void GroupService::connectionOpened(Instant now, ConnectionId id, const std::optional<LogPoint>&)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    const auto target = connection->target;
    m_pools[target].recordOpened();
    if (const auto refusals = m_refusals.extract(target))
        log({ LogEvent::TargetConnectSucceeded,
            { { "group", m_name.value() }, { "target", target.value() },
                { "refusals", std::to_string(refusals.mapped().count) } } });
    recordPath(now, *connection);
    recordReturnIfDown(now, target);
    if (auto* const health = m_watcher.health(target)) {
        // The target accepts a new connection while established ones do not respond, so these may be dead.
        if (health->isSuspect(now))
            discardIdleConnections(target, id);
        health->recordResponse(now, {});
    }
    markIdle(now, *connection);
    sendQueuedCommands(now);
    const auto* const member = m_watcher.find(target);
    if (member && !member->status)
        queryStatus(now, target);
    dispatchWaiting(now);
}

void GroupService::recordPath(Instant now, const TargetConnection& connection)
{
    auto& path = m_paths[connection.target];
    const auto before = path.relay();
    if (connection.relay)
        path.useRelay(now, *connection.relay);
    else
        path.useDirect();
    if (path.relay() == before)
        return;
    discardIdleConnections(connection.target, connection.id);
    log({ LogEvent::TargetPathChanged,
        { { "group", m_name.value() }, { "target", connection.target.value() },
            { "relay", path.relay() ? path.relay()->toString() : "-" } } });
}

void GroupService::connectionRefused(Instant now, ConnectionId id, FailureCode code)
{
    const auto* const connection = findConnection(id);
    if (!connection)
        return;
    const auto target = connection->target;
    auto* const health = m_watcher.health(target);
    if (connection->relay && code != FailureCode::TooManyConnections) {
        // The relaying host can't reach the target either, or is down itself; neither says anything about the target.
        if (m_paths[target].relay() == connection->relay)
            m_paths[target].dropRelay();
        discardConnection(id);
        return;
    }
    if (code == FailureCode::TooManyConnections) {
        m_pools[target].setReportedCount(m_rules.connectionLimit);
        if (health)
            health->recordResponse(now, {});
    } else if (health) {
        health->recordRefusal(now);
    }
    m_pools[target].recordRefusal(now, m_delegate.random());
    logRefusal(target, code);
    discardConnection(id);
}

void GroupService::logRefusal(const TargetName& target, FailureCode code)
{
    auto& refusals = m_refusals[target];
    if (refusals.count == 0 || refusals.code != code)
        log({ LogEvent::TargetConnectFailed,
            { { "group", m_name.value() }, { "target", target.value() },
                { "error", std::string(Session::toString(code)) },
                { "refusals", std::to_string(refusals.count + 1) } } });
    ++refusals.count;
    refusals.code = code;
}

void GroupService::connectionLost(Instant now, ConnectionId id)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    const auto expected = std::move(connection->expectedReplies);
    const auto session = connection->session;
    const auto target = connection->target;
    const bool wasOpening = connection->stage == ConnectionStage::Opening;
    bool hadStatement = false;
    // Removed first, so that no statement is dispatched to the connection again.
    discardConnection(id);
    for (const auto& reply : expected) {
        auto* const pending = findStatement(reply.pendingId);
        if (!pending || (reply.purpose != ReplyPurpose::Begin && reply.purpose != ReplyPurpose::Statement))
            continue;
        hadStatement = true;
        recordReadLoss(now, target, *pending, reply.sentAt);
        pending->sentOn.erase(id);
        const auto lost = *pending;
        if (lost.sentOn.empty())
            handleStatementLoss(now, lost, reply.purpose);
    }
    if (wasOpening)
        return;
    log({ expected.empty() ? LogEvent::TargetConnectionClosed : LogEvent::TargetConnectionLost,
        { { "group", m_name.value() }, { "target", target.value() }, { "connection", std::to_string(id.value()) },
            { "unanswered", std::to_string(expected.size()) } } });
    if (session && !hadStatement)
        m_delegate.transactionLost(*session);
    // A crash first shows as connection loss; a new connection attempt detects whether the target still runs.
    if (m_watcher.find(target) && m_pools[target].count(ConnectionStage::Opening) == 0)
        open(now, target);
}

void GroupService::handleStatementLoss(Instant now, const PendingStatement& lost, ReplyPurpose purpose)
{
    const bool ranNothing = purpose == ReplyPurpose::Begin;
    const bool isInTransaction = lost.startsTransaction || lost.isInTransaction;
    if (!ranNothing && isInTransaction) {
        // The target rolls the transaction back when the connection ends, unless a commit with writes was sent.
        const bool commits = lost.statement.kind == StatementKind::Commit && !lost.isReadOnlyTransaction;
        Session::Answer answer;
        if (commits)
            answer = { Session::Failure { FailureCode::InDoubt, "the answer to the commit was lost" },
                TransactionState::Idle, {} };
        else
            answer = { Session::Failure { FailureCode::Aborted, "the target's connection was lost" },
                TransactionState::Failed, {} };
        finish(lost, answer, nullptr);
        return;
    }
    if (!ranNothing && lost.access == Session::Access::Write) {
        finish(lost,
            { Session::Failure { FailureCode::InDoubt, "the answer to the write was lost" }, TransactionState::Idle,
                {} },
            nullptr);
        return;
    }
    auto* const pending = findStatement(lost.id);
    const bool hasTime = pending && now < lost.deadline;
    if (hasTime && m_retries.tryRetry(now)) {
        pending->retryNotBefore = now;
        if (requeue(now, *pending))
            return;
    }
    if (ranNothing || hasTime)
        finishUnsent(now, lost, FailureCode::Busy, "the target's connection was lost");
    else
        finish(lost,
            { Session::Failure { FailureCode::Timeout, "no answer within the statement's time limit" },
                TransactionState::Idle, {} },
            nullptr);
}

void GroupService::discardConnection(ConnectionId id)
{
    const auto target = m_targetOf.find(id);
    if (target == m_targetOf.end())
        return;
    auto& pool = m_pools[target->second];
    pool.remove(id);
    if (!m_watcher.find(target->second) && pool.connections().empty())
        m_pools.erase(target->second);
    m_targetOf.erase(target);
    m_delegate.closeConnection(id);
}

void GroupService::closeInTransaction(Instant now, TargetConnection& connection, const ExpectedReply& answered)
{
    log({ LogEvent::TargetConnectionInTransaction,
        { { "group", m_name.value() }, { "target", connection.target.value() },
            { "connection", std::to_string(connection.id.value()) },
            { "answered", std::string(toString(answered.purpose)) },
            { "state", connection.transaction == TransactionState::Open ? "open" : "failed" } } });
    m_delegate.measure("target_connections_closed_in_transaction", 1);
    // What was answered is rolled back with the transaction, so it counts as unanswered.
    connection.expectedReplies.push_front(answered);
    connectionLost(now, connection.id);
    dispatchWaiting(now);
}

void GroupService::markIdle(Instant now, TargetConnection& connection)
{
    if (!connection.expectedReplies.empty() || connection.transaction != TransactionState::Idle)
        return;
    connection.stage = ConnectionStage::Idle;
    connection.stageEnteredAt = now;
    connection.session.reset();
    connection.hasWritten = false;
}

void GroupService::unbind(Instant now, TargetConnection& connection)
{
    // A failed transaction can only be rolled back, and no caller needs the answer to the rollback.
    if (connection.transaction == TransactionState::Idle)
        markIdle(now, connection);
    else if (!connection.awaitsRollback())
        releaseTransaction(now, connection.id, false);
}

void GroupService::releaseTransaction(Instant now, ConnectionId id, bool commits)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    connection->session.reset();
    connection->stage = ConnectionStage::Releasing;
    connection->stageEnteredAt = now;
    if (commits)
        return;
    connection->expectedReplies.push_back({ ReplyPurpose::Rollback, {}, now });
    m_delegate.send(id, { RollbackTransaction {} });
}

} // namespace Auburnpost::Proxy
