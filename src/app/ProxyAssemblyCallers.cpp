#include "app/ProxyAssembly.h"

#include "platform/CallerCodec.h"

#include <algorithm>

namespace Auburnpost {

namespace {

    static_assert(Proxy::Proxy::maxOpenWait + Proxy::Proxy::tickInterval < SessionForwarder::openTimeout,
        "a host has to refuse a forwarded session before the other one takes it for unreachable");

    Limit::ClientStage stageOf(bool isInTransaction)
    {
        return isInTransaction ? Limit::ClientStage::InTransaction : Limit::ClientStage::Idle;
    }

} // namespace

Limit::ClientLimits ProxyAssembly::callerLimits(std::size_t connections, std::size_t bytes, bool isForwarded)
{
    Limit::ClientLimits limits;
    limits.budgetBytes = bytes;
    limits.connections = connections;
    limits.messageBytes = Wire::LineConnection::maxLineBytes;
    // A host that has no place for a forwarded session is passed over for the next one, at no cost to idle callers.
    limits.replacesSessions = !isForwarded;
    return limits;
}

void ProxyAssembly::listenForCallers(Wire::LineServer& server)
{
    server.lineReceived().connect(
        [this](Wire::AcceptedConnectionId id, std::string_view line) { onCallerLine(id, line); });
    server.disconnected().connect(
        [this](Wire::AcceptedConnectionId id, Wire::DisconnectReason end) { onCallerEnded(id, end); });
    server.closedByLimit().connect([this](Wire::AcceptedConnectionId, Limit::ClientCloseReason reason) {
        ++m_closedByLimit[static_cast<std::size_t>(reason)];
        measure("connections_closed_" + std::string(toString(reason)), 1);
    });
}

void ProxyAssembly::reportLimits()
{
    measure("caller_memory_bytes", static_cast<double>(m_callers.budget().chargedBytes()));
    measure("peer_session_memory_bytes", static_cast<double>(m_forwardedSessions.budget().chargedBytes()));
    const auto refused = m_callers.refusedConnections() + m_forwardedSessions.refusedConnections();
    const auto newlyRefused = refused - std::exchange(m_reportedRefusals, refused);
    const auto closed = std::exchange(m_closedByLimit, {});
    if (newlyRefused > 0)
        measure("connections_refused", static_cast<double>(newlyRefused));
    std::vector<LogField> fields;
    for (std::size_t reason = 0; reason < closed.size(); ++reason)
        fields.push_back(
            { std::string(toString(static_cast<Limit::ClientCloseReason>(reason))), std::to_string(closed[reason]) });
    fields.push_back({ "refused", std::to_string(newlyRefused) });
    fields.push_back({ "held_bytes",
        std::to_string(m_callers.budget().chargedBytes() + m_forwardedSessions.budget().chargedBytes()) });
    fields.push_back(
        { "waiting", std::to_string(m_callers.budget().waiting() + m_forwardedSessions.budget().waiting()) });
    const bool hasClosed = std::any_of(closed.begin(), closed.end(), [](auto count) { return count > 0; });
    if (hasClosed || newlyRefused > 0)
        log({ LogEvent::CallersLimited, std::move(fields) });
}

void ProxyAssembly::connectForwarder()
{
    m_forwarder.answerLineReceived().connect([this](Proxy::SessionId id, std::string_view line) {
        m_callers.send(clientOf(id), std::string(line) + "\r\n");
    });
    m_forwarder.answerCompleted().connect(
        [this](Proxy::SessionId id) { m_callers.resume(clientOf(id), stageOf(m_forwarder.isInTransaction(id))); });
    m_forwarder.versionStated().connect(
        [this](const HostName& host, ConfigVersion version) { m_proxy.versionStated(now(), host, version); });
    m_forwarder.requestFailed().connect(
        [this](Proxy::SessionId id, const std::string& statement, const DatabaseName& database, const HostName& host,
            std::string_view failure) {
            log({ LogEvent::ForwardedStatementFailed,
                { { "id", statement }, { "session", std::to_string(id.value()) }, { "database", database.value() },
                    { "host", host.value() }, { "answer", std::string(failure) } } });
        });
    m_forwarder.openFailed().connect([this](Proxy::SessionId id, const DatabaseName& database, const HostName& host,
                                         bool isRefused) { onForwardFailed(id, database, host, isRefused); });
    m_forwarder.sessionEnded().connect(
        [this](Proxy::SessionId id, const DatabaseName& database, const HostName& host, bool hasOpenRequest) {
            onForwardEnded(id, database, host, hasOpenRequest);
        });
}

Proxy::SessionId ProxyAssembly::sessionOf(Wire::AcceptedConnectionId id)
{
    return Proxy::SessionId(id.value());
}

Wire::AcceptedConnectionId ProxyAssembly::clientOf(Proxy::SessionId id)
{
    return Wire::AcceptedConnectionId(id.value());
}

Wire::LineServer& ProxyAssembly::serverOf(Proxy::SessionId id)
{
    return id.value() > forwardedIdBase ? m_forwardedSessions : m_callers;
}

void ProxyAssembly::onCallerLine(Wire::AcceptedConnectionId id, std::string_view text)
{
    const auto session = sessionOf(id);
    if (m_forwarder.has(session))
        onForwardedLine(session, text);
    else
        onSessionLine(session, text);
}

void ProxyAssembly::onForwardedLine(Proxy::SessionId session, std::string_view text)
{
    if (m_forwarder.isIdle(session)) {
        const auto line = Platform::readCallerLine(text);
        const auto* const sent = std::get_if<Platform::SendStatement>(&line);
        if (sent && !m_proxy.forwardedStatementArrived(now(), session, sent->id, sent->statement))
            return;
    }
    m_forwarder.send(session, text);
}

void ProxyAssembly::onSessionLine(Proxy::SessionId session, std::string_view text)
{
    const bool isForwarded = session.value() > forwardedIdBase;
    if (const auto route = isForwarded ? Platform::readStatedRoute(text) : std::nullopt) {
        m_proxy.routeStated(now(), session, *route);
        m_forwardedSessions.resume(clientOf(session));
        return;
    }
    const auto line = Platform::readCallerLine(text);
    const bool isOpen = m_proxy.hasSession(session);
    if (const auto* const open = std::get_if<Platform::OpenSession>(&line); open && !isOpen) {
        // The forwarding host then tries the next host.
        if (isForwarded && m_shutdownAnnouncedAt)
            m_forwardedSessions.close(clientOf(session));
        else
            m_proxy.sessionOpened(now(), session, Platform::sessionRequestOf(*open, isForwarded));
        return;
    }
    if (const auto* const sent = std::get_if<Platform::SendStatement>(&line); sent && isOpen) {
        m_proxy.statementArrived(now(), session, sent->id, sent->statement);
        return;
    }
    if (std::holds_alternative<Platform::EndSession>(line)) {
        m_proxy.sessionClosed(now(), session);
        serverOf(session).close(clientOf(session));
        return;
    }
    const auto* const bad = std::get_if<Platform::MalformedLine>(&line);
    const auto failure
        = bad ? bad->failure : Session::Failure { Session::FailureCode::Malformed, "not at this point of a session" };
    if (isOpen)
        m_proxy.malformedStatementArrived(now(), session, failure);
    else
        refuseMessage(session, failure);
}

void ProxyAssembly::onCallerEnded(Wire::AcceptedConnectionId id, Wire::DisconnectReason end)
{
    m_forwarder.close(sessionOf(id));
    m_proxy.sessionClosed(now(), sessionOf(id));
    if (end == Wire::DisconnectReason::LineTooLong)
        refuseMessage(sessionOf(id), { Session::FailureCode::TooLarge, "the message is too long" });
}

void ProxyAssembly::refuseMessage(Proxy::SessionId id, const Session::Failure& failure)
{
    log({ LogEvent::CallerMessageRefused, { { "session", std::to_string(id.value()) }, { "reason", failure.text } } });
    refuseSession(id, failure);
}

void ProxyAssembly::acceptSession(Proxy::SessionId id)
{
    serverOf(id).send(clientOf(id), Platform::writeSessionAccepted());
    serverOf(id).resume(clientOf(id));
}

void ProxyAssembly::forwardSession(
    Proxy::SessionId id, const Proxy::SessionRequest& request, const Proxy::HostEntry& host)
{
    m_forwarder.open(now(), id, request, host);
}

void ProxyAssembly::stateRoute(Proxy::SessionId id, const Proxy::StatedRoute& route)
{
    m_forwarder.stateRoute(id, route);
}

void ProxyAssembly::stateVersion(Proxy::SessionId id, ConfigVersion version)
{
    m_forwardedSessions.send(clientOf(id), Platform::writeStatedVersion(version));
}

void ProxyAssembly::endForwardedSession(Proxy::SessionId id)
{
    m_forwarder.endAfterRequest(id);
}

void ProxyAssembly::onForwardFailed(
    Proxy::SessionId id, const DatabaseName& database, const HostName& host, bool isRefused)
{
    log({ LogEvent::SessionForwardFailed,
        { { "session", std::to_string(id.value()) }, { "database", database.value() }, { "host", host.value() },
            { "reason", isRefused ? "the host refused the session" : "the host did not open the session in time" } } });
    m_proxy.forwardFailed(now(), id, host, isRefused);
}

void ProxyAssembly::onForwardEnded(
    Proxy::SessionId id, const DatabaseName& database, const HostName& host, bool hasOpenRequest)
{
    log({ LogEvent::SessionForwardEnded,
        { { "session", std::to_string(id.value()) }, { "database", database.value() }, { "host", host.value() },
            { "open", hasOpenRequest ? "yes" : "no" } } });
    if (hasOpenRequest)
        m_proxy.forwardLost(now(), host);
    m_proxy.sessionClosed(now(), id);
    m_callers.close(clientOf(id));
}

void ProxyAssembly::refuseSession(Proxy::SessionId id, const Session::Failure& failure)
{
    serverOf(id).send(clientOf(id), Platform::writeFailure(failure));
    serverOf(id).close(clientOf(id));
}

void ProxyAssembly::answer(Proxy::SessionId id, const Session::Answer& answer)
{
    serverOf(id).send(clientOf(id), Platform::writeAnswer(answer));
    serverOf(id).resume(clientOf(id), stageOf(answer.state == Session::TransactionState::Open));
}

void ProxyAssembly::closeSession(Proxy::SessionId id)
{
    serverOf(id).close(clientOf(id));
}

} // namespace Auburnpost
