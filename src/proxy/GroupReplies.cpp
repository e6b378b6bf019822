#include "proxy/GroupService.h"
#include "proxy/PromotionLog.h"

#include <algorithm>

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

    /// Retry delays for refused callers. A failover takes one to two seconds, a full queue drains faster.
    constexpr Duration failoverDelay = std::chrono::milliseconds(1000);
    constexpr Duration latestFailoverDelay = std::chrono::milliseconds(2000);
    constexpr Duration defaultQueueDelay = std::chrono::milliseconds(200);
    constexpr Duration minimumQueueDelay = std::chrono::milliseconds(100);
    /// The longest delay after a refusal for lack of capacity, beyond the time until room is expected.
    constexpr Duration queueDelaySpread = std::chrono::milliseconds(800);
    constexpr Duration maximumQueueDelay = std::chrono::milliseconds(2000);
    /// Gap between two returning callers where the rate of starts is not known.
    constexpr Duration defaultGap = std::chrono::milliseconds(10);

    bool isRefusalBeforeRun(FailureCode code)
    {
        switch (code) {
        case FailureCode::Busy:
        case FailureCode::Lagging:
        case FailureCode::ReadOnly:
        case FailureCode::Misrouted:
        case FailureCode::UnknownPreparedName:
            return true;
        default:
            return false;
        }
    }

} // namespace

PendingStatement* GroupService::findStatement(PendingStatementId id)
{
    const auto found = m_statements.find(id);
    return found == m_statements.end() ? nullptr : &found->second;
}

TargetConnection* GroupService::findConnection(ConnectionId id)
{
    const auto target = m_targetOf.find(id);
    return target == m_targetOf.end() ? nullptr : m_pools[target->second].find(id);
}

void GroupService::replied(Instant now, ConnectionId id, const TargetReply& reply)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    if (connection->expectedReplies.empty()) {
        log({ LogEvent::TargetConnectionLost,
            { { "group", m_name.value() }, { "target", connection->target.value() },
                { "error", "an answer that nothing asked for" } } });
        connectionLost(now, id);
        return;
    }
    const auto expected = connection->expectedReplies.front();
    connection->expectedReplies.pop_front();
    connection->lastAnswered = expected.purpose;
    connection->transaction = reply.state;
    recordReturnIfDown(now, connection->target);
    if (auto* const health = m_watcher.health(connection->target))
        health->recordResponse(
            now, expected.purpose == ReplyPurpose::Status ? std::optional(now - expected.sentAt) : std::nullopt);
    // Inside a transaction the position may be as of the transaction's begin.
    if (reply.position && reply.state == TransactionState::Idle)
        m_watcher.recordApplied(now, connection->target, *reply.position);
    if (connection->isInForeignTransaction()) {
        closeInTransaction(now, *connection, expected);
        return;
    }
    switch (expected.purpose) {
    case ReplyPurpose::Setup:
        if (reply.failure())
            connectionLost(now, id);
        break;
    case ReplyPurpose::Begin:
        handleBeginReply(now, *connection, expected, reply);
        break;
    case ReplyPurpose::Statement:
        handleStatementReply(now, *connection, expected, reply);
        break;
    case ReplyPurpose::Rollback:
        markIdle(now, *connection);
        break;
    case ReplyPurpose::Status:
        handleStatusReply(now, *connection, expected, reply);
        break;
    }
    resolveDoubt(now);
    sendQueuedCommands(now);
    dispatchWaiting(now);
}

void GroupService::handleStatusReply(
    Instant now, TargetConnection& connection, const ExpectedReply& expected, const TargetReply& reply)
{
    const auto target = connection.target;
    markIdle(now, connection);
    if (reply.failure() && reply.failure()->code == FailureCode::Busy)
        recordCapacityRefusal(now, target);
    if (!reply.status)
        return;
    recordReportedLoad(now, target, expected, *reply.status);
    m_pools[target].setReportedCount(reply.status->connections);
    const auto before = m_watcher.primary();
    if (!m_watcher.recordStatus(now, target, expected.sentAt, *reply.status))
        return;
    log({ LogEvent::PrimaryPromoted,
        { { "group", m_name.value() }, { "target", target.value() }, { "before", before ? before->value() : "-" },
            { "term", std::to_string(m_watcher.primaryTerm().value()) },
            { "lease", PromotionLog::describeLease(now, m_leaseReading) },
            { "fences_above", std::to_string(PromotionLog::countFencedAbove(m_watcher, m_watcher.primaryTerm())) } } });
}

void GroupService::handleBeginReply(
    Instant now, TargetConnection& connection, const ExpectedReply& expected, const TargetReply& reply)
{
    auto* const pending = findStatement(expected.pendingId);
    const auto* const failure = reply.failure();
    if (!failure) {
        if (pending)
            sendStatement(now, connection, *pending);
        else
            releaseTransaction(now, connection.id, false);
        return;
    }
    const auto target = connection.target;
    unbind(now, connection);
    if (!pending)
        return;
    pending->sentOn.clear();
    recordReadAnswer(now, connection, *pending, expected, reply);
    if (!requeueRefused(now, *pending, target, failure->code, reply.position.has_value())) {
        const auto refused = *pending;
        finishUnsent(now, refused, failure->code, failure->text);
    }
}

void GroupService::handleStatementReply(
    Instant now, TargetConnection& connection, const ExpectedReply& expected, const TargetReply& reply)
{
    auto* const pending = findStatement(expected.pendingId);
    const bool wasPinned = connection.stage == ConnectionStage::Pinned;
    if (!pending) {
        // The caller disconnected, or another attempt was answered first.
        unbind(now, connection);
        return;
    }
    pending->sentOn.erase(connection.id);
    if (!reply.failure() && !wasPinned)
        m_serviceTimes.record(now, laneOf(*pending), now - expected.sentAt);
    const bool isAcknowledgement = !reply.failure() && acknowledgesWrites(connection, *pending);
    recordWriteReply(now, connection, *pending, expected, reply);
    recordReadAnswer(now, connection, *pending, expected, reply);
    if (reply.failure()) {
        handleFailureReply(now, connection, *pending, reply);
        return;
    }
    if (isAcknowledgement && !m_watcher.seesFences(now))
        m_watcher.guard().recordIsolation(now);
    const bool isDurable = !reply.position || m_watcher.isDurable(now, connection.target, *reply.position);
    if (isAcknowledgement && (!isDurable || !m_watcher.guard().allows(connection.target))) {
        if (!isDurable)
            queryHolders(now);
        holdAcknowledgement(now, *pending, connection.target, reply);
        unbind(now, connection);
        return;
    }
    const auto served = *pending;
    if (reply.state == TransactionState::Open)
        connection.stageEnteredAt = now;
    else
        unbind(now, connection);
    finish(served, { std::get<Session::Success>(reply.body), reply.state, reply.position }, &connection);
}

void GroupService::recordWriteReply(Instant now, TargetConnection& connection, const PendingStatement& pending,
    const ExpectedReply& expected, const TargetReply& reply)
{
    const bool isDone = !reply.failure() && reply.position;
    if (pending.statement.kind == StatementKind::Commit) {
        if (isDone && connection.hasWritten)
            m_watcher.recordCommit(now, connection.target, expected.sentAt, *reply.position);
        return;
    }
    if (!isDone || pending.access != Session::Access::Write)
        return;
    if (connection.stage == ConnectionStage::Pinned)
        connection.hasWritten = true;
    else
        m_watcher.recordCommit(now, connection.target, expected.sentAt, *reply.position);
}

void GroupService::handleFailureReply(
    Instant now, TargetConnection& connection, PendingStatement& pending, const TargetReply& reply)
{
    const auto& failure = *reply.failure();
    const auto target = connection.target;
    if (failure.code == FailureCode::ReadOnly)
        m_watcher.recordWriteRefusal(target);
    if (failure.code == FailureCode::UnknownPreparedName)
        connection.prepared.clear();
    const bool isPinned = connection.stage == ConnectionStage::Pinned;
    if (!isPinned) {
        markIdle(now, connection);
        if (isRefusalBeforeRun(failure.code)
            && requeueRefused(now, pending, target, failure.code, reply.position.has_value()))
            return;
        const auto failed = pending;
        finish(failed, { failure, reply.state, reply.position }, nullptr);
        return;
    }
    const auto failed = pending;
    if (reply.state == TransactionState::Open) {
        connection.stageEnteredAt = now;
        finish(failed, { failure, reply.state, reply.position }, &connection);
        return;
    }
    unbind(now, connection);
    finish(failed, { failure, reply.state, reply.position }, nullptr);
}

bool GroupService::requeueRefused(
    Instant now, PendingStatement& pending, const TargetName& target, FailureCode code, bool hasPosition)
{
    // A replica that lags, or lacks the prepared statement, refuses at no cost, so the retry is not budgeted.
    const bool isUnbudgeted = code == FailureCode::Lagging || code == FailureCode::UnknownPreparedName;
    if (now + refusalRetryDelay >= pending.deadline || (!isUnbudgeted && !m_retries.tryRetry(now)))
        return false;
    if (pending.needsPrimary()) {
        pending.retryNotBefore = now + refusalRetryDelay;
        if (code == FailureCode::ReadOnly)
            m_polledAt.clear();
    } else if (code != FailureCode::Lagging || !hasPosition) {
        // A lagging replica that reported its position is not avoided: it is tried again once it may have caught up.
        pending.avoidedTargets.insert(target);
    }
    if (!requeue(now, pending))
        return false;
    log({ LogEvent::StatementRetried,
        { { "id", pending.statementId.value() }, { "target", target.value() },
            { "reason", std::string(Session::toString(code)) }, { "attempts", std::to_string(pending.attempts) } } });
    return true;
}

void GroupService::finish(const PendingStatement& pending, Session::Answer answer, const TargetConnection* connection)
{
    StatementResult result;
    result.pendingId = pending.id;
    result.session = pending.session;
    result.attempts = pending.attempts;
    result.requiredLogPoint = pending.requiredLogPoint;
    result.primaryEvidence = pending.primaryEvidence;
    result.waitReason = pending.waitReason;
    if (connection) {
        result.target = connection->target;
        if (connection->stage == ConnectionStage::Pinned)
            result.pinned = connection->id;
    }
    result.answer = std::move(answer);
    m_queue.cancel(RequestId(pending.id.value()));
    m_heldAcknowledgements.erase(pending.id);
    m_statements.erase(pending.id);
    m_delegate.statementFinished(result);
}

Duration GroupService::retryDelay(Instant now, const PendingStatement& pending)
{
    const auto ticket = ticketOf(now, pending);
    const auto gap = m_queue.expectedGap(now, ticket.lane).value_or(defaultGap);
    const bool isReplacing = !m_watcher.primary() || isPrimaryDoubted() || m_promotion.isReplacing();
    if (pending.needsPrimary() && isReplacing)
        return m_failoverReturns.next(now, failoverDelay, gap, latestFailoverDelay);
    // A caller that returns then is expected to wait for no more than half of its time limit.
    const auto wait = m_queue.expectedWait(now, ticket);
    const auto earliest = wait
        ? std::clamp(*wait - pending.route.statementTimeout / 2, minimumQueueDelay, maximumQueueDelay)
        : defaultQueueDelay;
    return m_queueReturns.next(now, earliest, gap, earliest + queueDelaySpread);
}

void GroupService::finishUnsent(Instant now, const PendingStatement& pending, FailureCode code, const std::string& text)
{
    const auto state = pending.startsTransaction ? TransactionState::Failed : TransactionState::Idle;
    const auto delay = toMilliseconds(retryDelay(now, pending));
    const auto hint = "; retry after " + std::to_string(delay) + " ms";
    m_delegate.measure("refusal_retry_delay_ms", static_cast<double>(delay));
    const std::chrono::duration<double, std::milli> held = now - pending.arrivedAt;
    m_delegate.measure("refusal_held_ms", held.count());
    finish(pending, { Session::Failure { code, text + hint }, state, {} }, nullptr);
}

void GroupService::abandon(Instant, PendingStatementId id)
{
    m_queue.cancel(RequestId(id.value()));
    m_heldAcknowledgements.erase(id);
    m_statements.erase(id);
}

} // namespace Auburnpost::Proxy
