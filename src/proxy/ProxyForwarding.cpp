#include "proxy/Proxy.h"

namespace Auburnpost::Proxy {

std::optional<HostEntry> Proxy::homeForSession(const CallerSession& session, const Route& route)
{
    const auto group = m_catalog->groups.find(route.group);
    const bool isFixed = session.isForwarded || m_isClosingIdleSessions || group == m_catalog->groups.end();
    if (isFixed || !m_homes.areNeeded(group->second.connectionLimit))
        return {};
    return m_homes.homeFor(m_now, route.group);
}

void Proxy::forward(const CallerSession& session, const HostEntry& home)
{
    log({ LogEvent::SessionForwarded,
        { { "session", std::to_string(session.id.value()) }, { "database", session.database.value() },
            { "host", home.name.value() } } });
    const auto id = session.id;
    SessionRequest request { session.database, session.key, false, session.organisation, {}, m_settings.host };
    // A host of an earlier version of the program would wait for the version, whatever the route.
    if (home.readsRoutes || !m_catalog->organisations.isEmpty())
        request.route = { m_catalog->version, digestOf(*findRoute(session.database)) };
    m_sessions.erase(id);
    m_forwardedSessions[id] = { request, home.readsRoutes };
    m_delegate.forwardSession(id, request, home);
}

void Proxy::forwardFailed(Instant now, SessionId id, const HostName& host, bool isRefused)
{
    const auto forwarded = m_forwardedSessions.extract(id);
    const auto* const route = forwarded ? findRoute(forwarded.mapped().request.database) : nullptr;
    if (isRefused && route)
        m_homes.recordRefusal(now, host, route->group);
    else if (!isRefused)
        m_homes.recordFailure(now, host);
    if (!forwarded) {
        // The caller's key was removed meanwhile.
        m_delegate.refuseSession(id, { Session::FailureCode::UnknownKey, "no organisation has this key" });
        return;
    }
    auto request = forwarded.mapped().request;
    // The session is authorised and routed again by this host's present configuration.
    request.organisation = {};
    request.route = {};
    request.forwardedBy = {};
    sessionOpened(now, id, request);
}

bool Proxy::forwardedStatementArrived(
    Instant now, SessionId id, const Session::StatementId& statementId, const Session::Statement& statement)
{
    beginEvent(now);
    const auto found = m_forwardedSessions.find(id);
    if (found == m_forwardedSessions.end() || !Session::needsRoute(statement.kind))
        return true;
    auto& [request, hostReadsRoutes] = found->second;
    const auto* const route = findRoute(request.database);
    const bool isAwaiting = isAwaitingVersion();
    if (!route && !isAwaiting) {
        CallerSession session;
        session.id = id;
        session.database = request.database;
        session.organisation = request.organisation;
        session.statementId = statementId;
        session.routedBy = m_catalog->version;
        refuse(session, { Session::FailureCode::UnknownDatabase, "no such database" }, Session::TransactionState::Idle);
        return false;
    }
    // While a newer configuration is awaited, its route is not known.
    const auto stated
        = isAwaiting ? StatedRoute { m_servedVersion, {} } : StatedRoute { m_catalog->version, digestOf(*route) };
    if (hostReadsRoutes && stated != request.route) {
        request.route = stated;
        m_delegate.stateRoute(id, stated);
    }
    return true;
}

void Proxy::routeStated(Instant now, SessionId id, const StatedRoute& route)
{
    beginEvent(now);
    auto* const session = findSession(id);
    if (!session || !session->isForwarded)
        return;
    session->statedRoute = route;
    recordNewerVersion({ route.version, session->forwardedBy.value() });
}

void Proxy::stateVersion(CallerSession& session)
{
    const auto known = std::max(session.statedRoute.version, session.statedVersion);
    // A host that states no digest is of an earlier version of the program and would pass the line on to the caller.
    if (!session.isForwarded || !session.statedRoute.digest || m_catalog->version <= known)
        return;
    session.statedVersion = m_catalog->version;
    m_delegate.stateVersion(session.id, m_catalog->version);
}

bool Proxy::isRoutedAlike(const CallerSession& session) const
{
    const auto& stated = session.statedRoute;
    if (!session.isForwarded || !m_catalog || stated.version <= m_catalog->version)
        return true;
    const auto* const route = findRoute(session.database);
    return route && stated.digest && digestOf(*route) == *stated.digest;
}

void Proxy::serveHeldStatements(Instant now)
{
    std::vector<SessionId> due;
    for (const auto& [id, session] : m_sessions) {
        const bool mayRoute = isRoutedAlike(session) && !isAwaitingVersion();
        if (session.heldStatement && (mayRoute || now - session.statementArrivedAt >= maxRouteWait))
            due.push_back(id);
    }
    for (const auto id : due) {
        auto* const session = findSession(id);
        if (!session || !session->heldStatement)
            continue;
        const auto statement = *std::exchange(session->heldStatement, {});
        if (isRoutedAlike(*session)) {
            routeStatement(now, *session, statement);
            continue;
        }
        session->routedBy = m_catalog->version;
        refuse(*session, { Session::FailureCode::Busy, "this host's configuration is out of date; retry now" },
            Session::TransactionState::Idle);
        // The caller's next session is opened at a host with a newer configuration.
        if (m_sessions.erase(id) > 0)
            m_delegate.closeSession(id);
    }
}

} // namespace Auburnpost::Proxy
