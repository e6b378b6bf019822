#include "proxy/GroupService.h"

#include <algorithm>

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

namespace {

    /// A caller that is refused should come back after about this long: a failover takes one to two seconds, a full
    /// queue drains faster.
    constexpr auto failoverHint = "; retry after 1000 ms";
    constexpr auto queueHint = "; retry after 200 ms";

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

Work* GroupService::findWork(WorkId id)
{
    const auto found = m_works.find(id);
    return found == m_works.end() ? nullptr : &found->second;
}

TargetConnection* GroupService::findConnection(ConnectionId id)
{
    const auto target = m_targetOf.find(id);
    return target == m_targetOf.end() ? nullptr : m_pools[target->second].find(id);
}

void GroupService::connectionOpened(Instant now, ConnectionId id, const std::optional<LogPoint>&)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    const auto target = connection->target;
    m_pools[target].opened();
    notePath(now, *connection);
    if (auto* const health = m_watcher.health(target)) {
        // What a fresh connection answers while the held ones don't, they may never answer.
        if (health->isDoubtful(now))
            dropIdle(target, id);
        health->heard(now, {});
    }
    becomeIdle(now, *connection);
    sendOrders(now);
    const auto* const member = m_watcher.find(target);
    if (member && !member->standing)
        ask(now, target);
    placeWaiting(now);
}

void GroupService::notePath(Instant now, const TargetConnection& connection)
{
    auto& path = m_paths[connection.target];
    const auto before = path.relay();
    if (connection.relay)
        path.reachedThrough(now, *connection.relay);
    else
        path.reachedDirectly();
    if (path.relay() == before)
        return;
    dropIdle(connection.target, connection.id);
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
        // The other host has no way either, or is gone itself, which says nothing of the target.
        if (m_paths[target].relay() == connection->relay)
            m_paths[target].lost();
        drop(id);
        return;
    }
    if (code == FailureCode::TooManyConnections) {
        m_pools[target].setCount(m_rules.connectionLimit);
        if (health)
            health->heard(now, {});
    } else if (health) {
        health->refused(now);
    }
    m_pools[target].refused(now, m_actions.random());
    log({ LogEvent::TargetConnectFailed,
        { { "group", m_name.value() }, { "target", target.value() },
            { "error", std::string(Session::toString(code)) } } });
    drop(id);
}

void GroupService::connectionLost(Instant now, ConnectionId id)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    const auto expected = std::move(connection->expected);
    const auto session = connection->session;
    const auto target = connection->target;
    const bool wasOpening = connection->stage == ConnectionStage::Opening;
    bool hadStatement = false;
    // Removed first, so that nothing is placed on it again.
    drop(id);
    for (const auto& reply : expected) {
        auto* const work = findWork(reply.work);
        if (!work || (reply.purpose != ReplyPurpose::Begin && reply.purpose != ReplyPurpose::Statement))
            continue;
        hadStatement = true;
        work->sentOn.erase(id);
        const auto lost = *work;
        if (lost.sentOn.empty())
            lose(now, lost, reply.purpose);
    }
    if (wasOpening)
        return;
    log({ expected.empty() ? LogEvent::TargetConnectionClosed : LogEvent::TargetConnectionLost,
        { { "group", m_name.value() }, { "target", target.value() }, { "connection", std::to_string(id.value()) },
            { "unanswered", std::to_string(expected.size()) } } });
    if (session && !hadStatement)
        m_actions.transactionLost(*session);
    // A crash shows first as lost connections: a fresh connect tells whether the target still runs.
    if (m_watcher.find(target) && m_pools[target].count(ConnectionStage::Opening) == 0)
        open(now, target);
}

void GroupService::lose(Instant now, const Work& lost, ReplyPurpose purpose)
{
    const bool ranNothing = purpose == ReplyPurpose::Begin;
    const bool isInTransaction = lost.startsTransaction || lost.isInTransaction;
    if (!ranNothing && isInTransaction) {
        // The connection's end rolls the transaction back, unless its commit was sent and has written something.
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
    auto* const work = findWork(lost.id);
    const bool hasTime = work && now < lost.deadline;
    if (hasTime && m_retries.tryRetry(now)) {
        work->notBefore = now;
        m_queue.add(*work);
        return;
    }
    if (ranNothing || hasTime)
        finishUnsent(lost, FailureCode::Busy, "the target's connection was lost");
    else
        finish(lost,
            { Session::Failure { FailureCode::Timeout, "no answer within the statement's time limit" },
                TransactionState::Idle, {} },
            nullptr);
}

void GroupService::drop(ConnectionId id)
{
    const auto target = m_targetOf.find(id);
    if (target == m_targetOf.end())
        return;
    auto& pool = m_pools[target->second];
    pool.remove(id);
    if (!m_watcher.find(target->second) && pool.connections().empty())
        m_pools.erase(target->second);
    m_targetOf.erase(target);
    m_actions.closeConnection(id);
}

void GroupService::replied(Instant now, ConnectionId id, const TargetReply& reply)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    if (connection->expected.empty()) {
        log({ LogEvent::TargetConnectionLost,
            { { "group", m_name.value() }, { "target", connection->target.value() },
                { "error", "an answer that nothing asked for" } } });
        connectionLost(now, id);
        return;
    }
    const auto expected = connection->expected.front();
    connection->expected.pop_front();
    if (auto* const health = m_watcher.health(connection->target))
        health->heard(
            now, expected.purpose == ReplyPurpose::Standing ? std::optional(now - expected.askedAt) : std::nullopt);
    // Inside a transaction the position may be that of its begin.
    if (reply.position && reply.state == TransactionState::Idle)
        m_watcher.noteApplied(now, connection->target, *reply.position);
    switch (expected.purpose) {
    case ReplyPurpose::Setup:
        if (reply.failure())
            connectionLost(now, id);
        break;
    case ReplyPurpose::Begin:
        takeBegin(now, *connection, expected, reply);
        break;
    case ReplyPurpose::Statement:
        takeStatement(now, *connection, expected, reply);
        break;
    case ReplyPurpose::Rollback:
        becomeIdle(now, *connection);
        break;
    case ReplyPurpose::Standing:
        takeStanding(now, *connection, expected, reply);
        break;
    }
    sendOrders(now);
    placeWaiting(now);
}

void GroupService::takeStanding(
    Instant now, TargetConnection& connection, const ExpectedReply& expected, const TargetReply& reply)
{
    const auto target = connection.target;
    becomeIdle(now, connection);
    if (!reply.standing)
        return;
    m_pools[target].setCount(reply.standing->connections);
    const auto before = m_watcher.primary();
    if (!m_watcher.record(now, target, expected.askedAt, *reply.standing))
        return;
    log({ LogEvent::PrimaryPromoted,
        { { "group", m_name.value() }, { "target", target.value() }, { "before", before ? before->value() : "-" },
            { "term", std::to_string(m_watcher.primaryTerm().value()) } } });
}

void GroupService::takeBegin(
    Instant now, TargetConnection& connection, const ExpectedReply& expected, const TargetReply& reply)
{
    auto* const work = findWork(expected.work);
    const auto* const failure = reply.failure();
    if (!failure) {
        if (work)
            sendStatement(now, connection, *work);
        else
            release(now, connection.id, false);
        return;
    }
    const auto target = connection.target;
    connection.session.reset();
    becomeIdle(now, connection);
    if (!work)
        return;
    work->sentOn.clear();
    if (!retryElsewhere(now, *work, target, failure->code, reply.position.has_value())) {
        const auto refused = *work;
        finishUnsent(refused, failure->code, failure->text);
    }
}

void GroupService::takeStatement(
    Instant now, TargetConnection& connection, const ExpectedReply& expected, const TargetReply& reply)
{
    auto* const work = findWork(expected.work);
    const bool wasPinned = connection.stage == ConnectionStage::Pinned;
    if (!work) {
        // The caller left, or another attempt was faster.
        // Whatever follows on the connection, such as a rollback, settles its state.
        if (!connection.expected.empty())
            return;
        if (reply.state == TransactionState::Idle)
            becomeIdle(now, connection);
        else
            release(now, connection.id, false);
        return;
    }
    work->sentOn.erase(connection.id);
    noteCommit(connection, *work, expected, reply);
    if (reply.failure()) {
        takeFailure(now, connection, *work, reply);
        return;
    }
    const auto served = *work;
    if (reply.state == TransactionState::Open && wasPinned) {
        connection.since = now;
        finish(served, { std::get<Session::Success>(reply.body), reply.state, reply.position }, &connection);
        return;
    }
    becomeIdle(now, connection);
    finish(served, { std::get<Session::Success>(reply.body), reply.state, reply.position }, &connection);
}

void GroupService::noteCommit(
    TargetConnection& connection, const Work& work, const ExpectedReply& expected, const TargetReply& reply)
{
    const bool isDone = !reply.failure() && reply.position;
    if (work.statement.kind == StatementKind::Commit) {
        if (isDone && connection.hasWritten)
            m_watcher.committed(connection.target, expected.askedAt, *reply.position);
        return;
    }
    if (!isDone || work.access != Session::Access::Write)
        return;
    if (connection.stage == ConnectionStage::Pinned)
        connection.hasWritten = true;
    else
        m_watcher.committed(connection.target, expected.askedAt, *reply.position);
}

void GroupService::takeFailure(Instant now, TargetConnection& connection, Work& work, const TargetReply& reply)
{
    const auto& failure = *reply.failure();
    const auto target = connection.target;
    if (failure.code == FailureCode::ReadOnly)
        m_watcher.refusedAsReplica(target);
    if (failure.code == FailureCode::UnknownPreparedName)
        connection.prepared.clear();
    const bool isPinned = connection.stage == ConnectionStage::Pinned;
    if (!isPinned) {
        becomeIdle(now, connection);
        if (isRefusalBeforeRun(failure.code)
            && retryElsewhere(now, work, target, failure.code, reply.position.has_value()))
            return;
        const auto failed = work;
        finish(failed, { failure, reply.state, reply.position }, nullptr);
        return;
    }
    const auto failed = work;
    auto state = reply.state;
    if (state == TransactionState::Open) {
        connection.since = now;
        finish(failed, { failure, state, reply.position }, &connection);
        return;
    }
    // A failed transaction can only be rolled back, which needs no answer to the caller.
    if (state == TransactionState::Failed)
        release(now, connection.id, false);
    else
        becomeIdle(now, connection);
    finish(failed, { failure, state, reply.position }, nullptr);
}

bool GroupService::retryElsewhere(Instant now, Work& work, const TargetName& target, FailureCode code, bool hasPosition)
{
    // A replica that lacks a position refuses at no cost.
    const bool isFree = code == FailureCode::Lagging || code == FailureCode::UnknownPreparedName;
    if (now + busyDelay >= work.deadline || (!isFree && !m_retries.tryRetry(now)))
        return false;
    log({ LogEvent::StatementMoved,
        { { "id", work.statementId.value() }, { "target", target.value() },
            { "reason", std::string(Session::toString(code)) }, { "attempts", std::to_string(work.attempts) } } });
    if (work.needsPrimary()) {
        work.notBefore = now + busyDelay;
        if (code == FailureCode::ReadOnly)
            m_polledAt.clear();
    } else if (code != FailureCode::Lagging || !hasPosition) {
        // Where a replica told its position, it is asked again once it may have caught up.
        work.avoided.insert(target);
    }
    m_queue.add(work);
    return true;
}

void GroupService::becomeIdle(Instant now, TargetConnection& connection)
{
    if (!connection.expected.empty())
        return;
    connection.stage = ConnectionStage::Idle;
    connection.since = now;
    connection.session.reset();
    connection.hasWritten = false;
}

void GroupService::finish(const Work& work, Session::Answer answer, const TargetConnection* connection)
{
    WorkResult result;
    result.work = work.id;
    result.session = work.session;
    result.attempts = work.attempts;
    result.after = work.after;
    result.obstacle = work.obstacle;
    if (connection) {
        result.target = connection->target;
        if (connection->stage == ConnectionStage::Pinned)
            result.pinned = connection->id;
    }
    result.answer = std::move(answer);
    m_queue.remove(work);
    m_works.erase(work.id);
    m_actions.finished(result);
}

void GroupService::finishUnsent(const Work& work, FailureCode code, const std::string& text)
{
    const auto state = work.startsTransaction ? TransactionState::Failed : TransactionState::Idle;
    const bool isReplacing = !m_watcher.primary() || !m_promotion.isIdle();
    const auto hint = work.needsPrimary() && isReplacing ? failoverHint : queueHint;
    finish(work, { Session::Failure { code, text + hint }, state, {} }, nullptr);
}

void GroupService::release(Instant now, ConnectionId id, bool commits)
{
    auto* const connection = findConnection(id);
    if (!connection)
        return;
    connection->session.reset();
    connection->stage = ConnectionStage::Busy;
    connection->since = now;
    if (commits)
        return;
    connection->expected.push_back({ ReplyPurpose::Rollback, {}, now });
    m_actions.send(id, { RollbackTransaction {} });
}

void GroupService::abandon(Instant, WorkId id)
{
    const auto* const work = findWork(id);
    if (!work)
        return;
    m_queue.remove(*work);
    m_works.erase(id);
}

} // namespace Auburnpost::Proxy
