#include "proxy/Proxy.h"

namespace Auburnpost::Proxy {

std::optional<OrganisationName> Proxy::authorise(const std::optional<Config::KeyDigest>& key, const Route& route,
    const std::optional<OrganisationName>& forwarded) const
{
    const auto& organisations = m_catalog->organisations;
    if (organisations.isEmpty())
        return OrganisationName {};
    std::optional<OrganisationName> found;
    if (forwarded)
        found = organisations.contains(*forwarded) ? forwarded : std::nullopt;
    else if (key)
        found = organisations.findByKey(*key);
    if (!found && route.isPublic)
        return OrganisationName {};
    return found;
}

std::optional<OrganisationName> Proxy::authorise(const CallerSession& session, const Route& route) const
{
    return authorise(session.key, route, session.isForwarded ? std::optional(session.organisation) : std::nullopt);
}

void Proxy::endRevokedSessions(Instant now)
{
    std::vector<SessionId> revoked;
    for (const auto& [id, session] : m_sessions) {
        const auto* const route = findRoute(session.database);
        if (session.isAccepted && route && authorise(session, *route) != session.organisation)
            revoked.push_back(id);
    }
    for (const auto id : revoked) {
        logRevocation(id, m_sessions.at(id).organisation);
        endRevokedSession(now, id);
    }
    std::vector<SessionId> forwarded;
    for (const auto& [id, session] : m_forwardedSessions) {
        const auto& request = session.request;
        const auto* const route = findRoute(request.database);
        if (route && authorise(request.key, *route, {}) != request.organisation)
            forwarded.push_back(id);
    }
    for (const auto id : forwarded) {
        logRevocation(id, m_forwardedSessions.at(id).request.organisation);
        m_forwardedSessions.erase(id);
        m_delegate.endForwardedSession(id);
    }
}

void Proxy::endRevokedSession(Instant now, SessionId id)
{
    auto* const session = findSession(id);
    if (!session)
        return;
    session->isRevoked = true;
    if (session->hasOpenStatement())
        return;
    endTransaction(now, *session);
    m_sessions.erase(id);
    m_delegate.closeSession(id);
}

void Proxy::logRevocation(SessionId id, const OrganisationName& organisation)
{
    log({ LogEvent::SessionRevoked,
        { { "session", std::to_string(id.value()) }, { "organisation", organisation.value() },
            { "version", std::to_string(m_catalog->version.value()) } } });
}

bool Proxy::takePermit(Instant now, CallerSession& session, const Session::Statement& statement)
{
    // A transaction is one operation, which its first statement begins.
    if (!m_allotments || session.pinned || session.organisation == OrganisationName {})
        return true;
    const auto decision = m_allotments->admit(now, session.organisation);
    if (decision.isAdmitted)
        return true;
    // A host that grants permits itself gets none by waiting.
    if (!m_allotments->hasCoordinator() || !m_permitQueue.add(now, session.id, session.organisation, statement)) {
        refuseOverLimit(now, session, decision.retryAfter);
        return false;
    }
    session.awaitsPermit = true;
    // Requests a permit now if the interval of urgent requests allows.
    m_allotments->tick(now);
    return false;
}

void Proxy::refuseOverLimit(Instant now, CallerSession& session, Duration retryAfter)
{
    const auto refusal = m_allotments->refuse(now, session.organisation, retryAfter);
    const bool isOpen = session.state.transaction() == Session::TransactionState::Open;
    const auto state = isOpen ? Session::TransactionState::Failed : Session::TransactionState::Idle;
    refuse(session, refusal, state);
}

void Proxy::serveWaitingOperations(Instant now)
{
    const auto decided = m_permitQueue.takeDecided(
        now, [this, now](const OrganisationName& name) { return m_allotments->admitWaiting(now, name); });
    for (const auto& operation : decided) {
        auto* const session = findSession(operation.session);
        if (!session || !session->awaitsPermit)
            continue;
        session->awaitsPermit = false;
        if (operation.isAdmitted && !session->isRevoked)
            serveStatement(now, *session, operation.statement, true);
        else
            refuseOverLimit(now, *session, PermitQueue::maxWait);
    }
}

} // namespace Auburnpost::Proxy
