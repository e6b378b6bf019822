#include "wire/LineClients.h"

#include "wire/SocketOptions.h"

namespace Auburnpost::Wire {

LineClients::LineClients(event_base* base)
    : m_base(base)
{
    ignoreBrokenPipe();
}

LineClients::~LineClients() = default;

void LineClients::open(ConnectionId id, const SocketAddress& address)
{
    LineConnection::Handlers handlers;
    // A slot may close the connection, which destroys the lambda with its captures; hence the copies of the id.
    handlers.connected = [this, id] {
        const auto connectionId = id;
        m_connected.emit(connectionId);
    };
    handlers.line = [this, id](std::string_view line) {
        const auto connectionId = id;
        m_lineReceived.emit(connectionId, line);
    };
    handlers.disconnected = [this, id](DisconnectReason reason) { onDisconnected(id, reason); };
    m_connections[id] = std::make_unique<LineConnection>(m_base, address, std::move(handlers));
}

void LineClients::send(ConnectionId id, std::string_view text)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        found->second->send(text);
}

void LineClients::close(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    found->second->setResetOnClose();
    m_connections.erase(found);
}

void LineClients::onDisconnected(ConnectionId id, DisconnectReason reason)
{
    m_connections.erase(id);
    m_disconnected.emit(id, reason);
}

} // namespace Auburnpost::Wire
