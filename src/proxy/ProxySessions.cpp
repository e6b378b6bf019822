#include "proxy/Proxy.h"

#include <algorithm>

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

CallerSession* Proxy::findSession(SessionId id)
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : &found->second;
}

const Route* Proxy::findRoute(const DatabaseName& database) const
{
    if (!m_catalog)
        return nullptr;
    const auto found = m_catalog->routes.find(database);
    return found == m_catalog->routes.end() ? nullptr : &found->second;
}

void Proxy::sessionOpened(Instant now, SessionId id, const SessionRequest& request)
{
    beginEvent(now);
    auto& session = m_sessions[id];
    session.id = id;
    session.database = request.database;
    session.isForwarded = request.isForwarded;
    session.key = request.key;
    session.organisation = request.organisation;
    session.statedRoute = request.route;
    session.forwardedBy = request.forwardedBy;
    session.openedAt = now;
    session.idleSince = now;
    if (request.isForwarded)
        recordNewerVersion({ request.route.version, request.forwardedBy.value() });
    routeSession(session);
}

void Proxy::routeSession(CallerSession& session)
{
    if (session.isAccepted || !m_catalog)
        return;
    if (isAwaitingVersion() && m_now - session.openedAt < maxRouteWait)
        return;
    // Which organisations there are is not part of the route.
    const bool needsVersion = session.isForwarded && session.organisation != OrganisationName {};
    if (needsVersion ? session.statedRoute.version > m_catalog->version : !isRoutedAlike(session))
        return;
    if (const auto* const route = findRoute(session.database)) {
        const auto organisation = authorise(session, *route);
        if (!organisation) {
            refuseOpening(session, { FailureCode::UnknownKey, "no organisation has this key" });
            return;
        }
        session.organisation = *organisation;
        if (const auto home = homeForSession(session, *route)) {
            forward(session, *home);
            return;
        }
        m_groupUsedAt[route->group] = m_now;
        updateServedGroups(m_now);
        session.isAccepted = true;
        stateVersion(session);
        session.routedBy = m_catalog->version;
        if (m_allotments)
            m_allotments->expect(m_now, session.organisation);
        m_delegate.acceptSession(session.id);
        return;
    }
    refuseOpening(session, { FailureCode::UnknownDatabase, "no such database" });
}

void Proxy::refuseOpening(const CallerSession& session, const Session::Failure& failure)
{
    std::vector<LogField> fields { { "session", std::to_string(session.id.value()) },
        { "database", session.database.value() }, { "reason", std::string(Session::toString(failure.code)) },
        { "version", std::to_string(m_catalog ? m_catalog->version.value() : 0) } };
    appendConfigurationAge(fields, session);
    log({ LogEvent::SessionRefused, std::move(fields) });
    const auto id = session.id;
    const bool isForwarded = session.isForwarded;
    m_sessions.erase(id);
    // The configuration by which the other host forwarded the session differs from this host's.
    if (isForwarded)
        m_delegate.closeSession(id);
    else
        m_delegate.refuseSession(id, failure);
}

void Proxy::statementArrived(
    Instant now, SessionId id, const Session::StatementId& statementId, const Session::Statement& statement)
{
    beginEvent(now);
    auto* const session = findSession(id);
    if (!session || session->hasOpenStatement())
        return;
    session->statementId = statementId;
    session->statementKind = statement.kind;
    session->statementArrivedAt = now;
    routeStatement(now, *session, statement);
}

void Proxy::routeStatement(Instant now, CallerSession& session, const Session::Statement& statement)
{
    const bool isIdle = session.state.transaction() == TransactionState::Idle;
    const auto* const route = findRoute(session.database);
    const bool isAwaiting = isAwaitingVersion() && now - session.statementArrivedAt < maxRouteWait;
    if (isIdle && needsRoute(statement.kind) && (isAwaiting || !isRoutedAlike(session))) {
        session.heldStatement = statement;
        return;
    }
    if (isIdle && m_catalog) {
        session.routedBy = m_catalog->version;
        stateVersion(session);
    }
    if (isIdle && needsRoute(statement.kind) && !route) {
        refuse(session, { FailureCode::UnknownDatabase, "no such database" }, TransactionState::Idle);
        return;
    }
    if (isIdle && (statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly)) {
        session.transactionRoute = *route;
        session.transactionBegunAt = now;
    }
    if (const auto local = session.state.answerLocally(statement, session.pinned.has_value())) {
        if (session.pinned && session.state.transaction() == TransactionState::Idle)
            endTransaction(now, session);
        if (const auto* const failure = std::get_if<Session::Failure>(&local->body))
            refuse(session, *failure, local->state);
        else
            sendAnswer(session, *local);
        return;
    }
    serveStatement(now, session, statement);
}

void Proxy::malformedStatementArrived(Instant now, SessionId id, const Session::Failure& failure)
{
    beginEvent(now);
    auto* const session = findSession(id);
    if (!session)
        return;
    if (!std::exchange(session->hasRefusedMessage, true))
        log({ LogEvent::CallerMessageRefused,
            { { "session", std::to_string(id.value()) }, { "reason", failure.text } } });
    sendAnswer(*session, { failure, session->state.transaction(), {} });
}

void Proxy::serveStatement(Instant now, CallerSession& session, const Session::Statement& statement, bool hasPermit)
{
    if (statement.kind == StatementKind::Rollback) {
        endTransaction(now, session);
        session.state.setTransaction(TransactionState::Idle);
        sendAnswer(session, { Session::Success {}, TransactionState::Idle, {} });
        return;
    }
    const bool isOpen = session.state.transaction() == TransactionState::Open;
    const auto* const current = findRoute(session.database);
    auto* const group = isOpen ? findGroup(session.transactionRoute->group)
        : current              ? findGroup(current->group)
                               : nullptr;
    if (!group) {
        const auto state = isOpen ? TransactionState::Failed : TransactionState::Idle;
        refuse(session, { FailureCode::Busy, "the group is not known yet; retry after 500 ms" }, state);
        return;
    }
    if (!hasPermit && !takePermit(now, session, statement))
        return;
    const auto route = isOpen ? *session.transactionRoute : *current;
    auto pending = makePendingStatement(now, session, statement, route);
    session.pendingId = pending.id;
    session.group = route.group;
    if (!session.pinned) {
        group->submit(now, std::move(pending));
        return;
    }
    if (group->submitPinned(now, std::move(pending), *session.pinned))
        return;
    session.pendingId.reset();
    session.pinned.reset();
    refuse(session, { FailureCode::Aborted, "the transaction's connection was lost" }, TransactionState::Failed);
}

PendingStatement Proxy::makePendingStatement(
    Instant now, const CallerSession& session, const Session::Statement& statement, const Route& route)
{
    const bool isOpen = session.state.transaction() == TransactionState::Open;
    PendingStatement pending;
    pending.id = PendingStatementId(++m_lastStatement);
    pending.session = session.id;
    pending.organisation = session.organisation;
    pending.statementId = session.statementId;
    pending.statement = statement;
    if (statement.kind == StatementKind::Execute)
        pending.prepared.emplace(*session.state.findPrepared(statement.name));
    pending.values = session.state.values();
    pending.route = route;
    pending.arrivedAt = now;
    pending.freshAsOf = isOpen ? session.transactionBegunAt : now;
    pending.deadline = session.statementArrivedAt + route.statementTimeout;
    pending.ownPosition = session.state.ownPosition();
    pending.startsTransaction = isOpen && !session.pinned;
    pending.isInTransaction = isOpen && session.pinned;
    pending.isReadOnlyTransaction = isOpen && session.state.isReadOnly();
    const bool writes = statement.kind == StatementKind::Write || statement.kind == StatementKind::Commit
        || (pending.prepared && pending.prepared->shape.access == Session::Access::Write);
    pending.access = writes ? Session::Access::Write : Session::Access::Read;
    if (pending.isReadOnlyTransaction)
        pending.access = Session::Access::Read;
    return pending;
}

void Proxy::statementFinished(const StatementResult& result)
{
    auto* const session = findSession(result.session);
    if (!session || session->pendingId != result.pendingId)
        return;
    session->pendingId.reset();
    session->pinned = result.pinned;
    auto answer = result.answer;
    const bool isFailure = std::holds_alternative<Session::Failure>(answer.body);
    const bool wasOpen = session->state.transaction() == TransactionState::Open;
    if (session->statementKind == StatementKind::Commit && wasOpen && answer.state == TransactionState::Failed)
        answer.state = TransactionState::Idle;
    session->state.setTransaction(answer.state);
    const bool commits = session->statementKind == StatementKind::Commit ? !session->state.isReadOnly() : !wasOpen;
    if (!isFailure && commits && answer.position && answer.state == TransactionState::Idle)
        session->state.recordWrite(*answer.position);
    logStatement(*session, result, m_now - session->statementArrivedAt);
    sendAnswer(*session, answer);
}

void Proxy::transactionLost(SessionId id)
{
    auto* const session = findSession(id);
    if (!session)
        return;
    session->pinned.reset();
    session->state.setTransaction(TransactionState::Failed);
}

void Proxy::endTransaction(Instant now, CallerSession& session)
{
    if (!session.pinned)
        return;
    if (auto* const group = findGroup(session.group))
        group->releaseTransaction(now, *session.pinned, false);
    session.pinned.reset();
    if (session.state.transaction() == TransactionState::Open)
        session.state.setTransaction(TransactionState::Failed);
}

void Proxy::sendAnswer(CallerSession& session, const Session::Answer& answer)
{
    session.idleSince = m_now;
    const auto id = session.id;
    const bool isRevoked = session.isRevoked;
    // The session's next statement may arrive from within this call, so the session must not be used after it.
    m_delegate.answer(id, answer);
    if (isRevoked)
        endRevokedSession(m_now, id);
    else if (m_isClosingIdleSessions)
        closeIfIdle(id);
}

void Proxy::sessionClosed(Instant now, SessionId id)
{
    beginEvent(now);
    m_forwardedSessions.erase(id);
    m_permitQueue.remove(id);
    auto* const session = findSession(id);
    if (!session)
        return;
    auto* const group = findGroup(session->group);
    const bool commits = session->pendingId && session->statementKind == StatementKind::Commit;
    if (group && session->pendingId)
        group->abandon(now, *session->pendingId);
    if (group && session->pinned)
        group->releaseTransaction(now, *session->pinned, commits);
    m_sessions.erase(id);
}

void Proxy::closeIdleSessions()
{
    m_isClosingIdleSessions = true;
    std::vector<SessionId> ids;
    for (const auto& [id, session] : m_sessions)
        ids.push_back(id);
    for (const auto id : ids)
        closeIfIdle(id);
}

void Proxy::closeIfIdle(SessionId id)
{
    const auto* const session = findSession(id);
    if (!session || !session->isIdle() || !session->isAccepted)
        return;
    m_sessions.erase(id);
    m_delegate.closeSession(id);
}

void Proxy::endIdleTransactions(Instant now)
{
    beginEvent(now);
    std::vector<SessionId> ended;
    for (auto& [id, session] : m_sessions) {
        if (session.hasOpenStatement() || session.state.transaction() == TransactionState::Idle)
            continue;
        endTransaction(now, session);
        ended.push_back(id);
    }
    for (const auto id : ended) {
        m_sessions.erase(id);
        m_delegate.closeSession(id);
    }
}

std::size_t Proxy::statements() const
{
    return static_cast<std::size_t>(std::count_if(
        m_sessions.begin(), m_sessions.end(), [](const auto& entry) { return entry.second.pendingId.has_value(); }));
}

} // namespace Auburnpost::Proxy
