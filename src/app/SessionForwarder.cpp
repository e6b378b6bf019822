#include "app/SessionForwarder.h"

#include "platform/CallerCodec.h"

namespace Auburnpost {

SessionForwarder::SessionForwarder(event_base* base)
    : m_connections(base)
{
    m_connections.connected().connect([this](ConnectionId connection) { onConnected(connection); });
    m_connections.lineReceived().connect(
        [this](ConnectionId connection, std::string_view line) { onLine(connection, line); });
    m_connections.disconnected().connect(
        [this](ConnectionId connection, Wire::DisconnectReason reason) { onEnded(connection, reason); });
}

void SessionForwarder::open(
    Instant now, Proxy::SessionId id, const Proxy::SessionRequest& request, const Proxy::HostEntry& host)
{
    const ConnectionId connection(++m_lastConnectionId);
    auto& forward = m_forwards[id];
    forward.connection = connection;
    forward.request = request;
    forward.host = host.name;
    forward.openedAt = now;
    m_sessionIds[connection] = id;
    m_connections.open(connection, host.sessions);
}

bool SessionForwarder::isInTransaction(Proxy::SessionId id) const
{
    const auto found = m_forwards.find(id);
    return found != m_forwards.end() && found->second.state == Session::TransactionState::Open;
}

void SessionForwarder::onConnected(ConnectionId connection)
{
    m_connections.send(connection, Platform::writeSessionRequest(m_forwards.at(m_sessionIds.at(connection)).request));
}

void SessionForwarder::send(Proxy::SessionId id, std::string_view line)
{
    auto& forward = m_forwards.at(id);
    forward.hasOpenRequest = true;
    forward.statement = Platform::statementIdOf(line);
    m_connections.send(forward.connection, std::string(line) + "\r\n");
}

bool SessionForwarder::isIdle(Proxy::SessionId id) const
{
    const auto found = m_forwards.find(id);
    return found != m_forwards.end() && found->second.isIdle();
}

void SessionForwarder::stateRoute(Proxy::SessionId id, const Proxy::StatedRoute& route)
{
    m_connections.send(m_forwards.at(id).connection, Platform::writeStatedRoute(route));
}

void SessionForwarder::close(Proxy::SessionId id)
{
    const auto forward = m_forwards.extract(id);
    if (!forward)
        return;
    m_sessionIds.erase(forward.mapped().connection);
    m_connections.close(forward.mapped().connection);
}

void SessionForwarder::onLine(ConnectionId connection, std::string_view line)
{
    const auto id = m_sessionIds.at(connection);
    auto& forward = m_forwards.at(id);
    forward.isAnswered = true;
    const auto state = Platform::readAnswerEnd(line);
    if (state) {
        forward.state = *state;
        forward.hasOpenRequest = false;
    }
    if (const auto failure = Platform::readFailure(line))
        m_requestFailed.emit(id, forward.statement, forward.request.database, forward.host, *failure);
    m_answerLineReceived.emit(id, line);
    if (!state)
        return;
    // The signal resumes the caller, whose next line may arrive at once, so the forward is looked up again.
    m_answerCompleted.emit(id);
    const auto found = m_forwards.find(id);
    if (found == m_forwards.end())
        return;
    const bool endsNow = found->second.isEnding && !found->second.hasOpenRequest;
    if (endsNow || (m_isClosingIdle && found->second.isIdle()))
        end(id, false);
}

void SessionForwarder::onEnded(ConnectionId connection, Wire::DisconnectReason reason)
{
    const auto id = m_sessionIds.at(connection);
    const auto& forward = m_forwards.at(id);
    if (forward.isAnswered)
        end(id, forward.hasOpenRequest);
    else
        fail(id, reason == Wire::DisconnectReason::Closed);
}

void SessionForwarder::fail(Proxy::SessionId id, bool isRefused)
{
    const auto database = m_forwards.at(id).request.database;
    const auto host = m_forwards.at(id).host;
    close(id);
    m_openFailed.emit(id, database, host, isRefused);
}

void SessionForwarder::end(Proxy::SessionId id, bool hasOpenRequest)
{
    const auto database = m_forwards.at(id).request.database;
    const auto host = m_forwards.at(id).host;
    close(id);
    m_sessionEnded.emit(id, database, host, hasOpenRequest);
}

void SessionForwarder::tick(Instant now)
{
    std::vector<Proxy::SessionId> overdue;
    for (const auto& [id, forward] : m_forwards) {
        if (!forward.isAnswered && now - forward.openedAt >= openTimeout)
            overdue.push_back(id);
    }
    for (const auto id : overdue)
        fail(id, false);
}

void SessionForwarder::endAfterRequest(Proxy::SessionId id)
{
    const auto found = m_forwards.find(id);
    if (found == m_forwards.end())
        return;
    found->second.isEnding = true;
    if (found->second.isAnswered && !found->second.hasOpenRequest)
        end(id, false);
}

void SessionForwarder::closeIdle()
{
    m_isClosingIdle = true;
    std::vector<Proxy::SessionId> idle;
    for (const auto& [id, forward] : m_forwards) {
        if (forward.isIdle())
            idle.push_back(id);
    }
    for (const auto id : idle)
        end(id, false);
}

void SessionForwarder::endSessionsWithoutRequest()
{
    std::vector<Proxy::SessionId> withoutRequest;
    for (const auto& [id, forward] : m_forwards) {
        if (!forward.hasOpenRequest)
            withoutRequest.push_back(id);
    }
    for (const auto id : withoutRequest)
        end(id, false);
}

} // namespace Auburnpost
