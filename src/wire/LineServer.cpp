#include "wire/LineServer.h"

#include "wire/SocketOptions.h"

#include <unistd.h>

#include <optional>
#include <vector>

namespace Auburnpost::Wire {

struct LineServer::Client {
    std::unique_ptr<LineConnection> connection;
    /// Closed by the owner, but with output that is not sent yet.
    bool isClosing { false };
    /// Time since which the number of unread bytes has not changed; empty while there are none.
    std::optional<Instant> stalledSince;
    std::size_t lastUnreadBytes { 0 };
};

LineServer::LineServer(event_base* base, SocketAddress address, std::size_t connectionLimit, std::uint64_t idBase)
    : m_base(base)
    , m_listener(base, std::move(address), [this](int descriptor) { accept(descriptor); })
    , m_connectionLimit(connectionLimit)
    , m_lastId(idBase)
{
    ignoreBrokenPipe();
}

LineServer::~LineServer() = default;

Expected<void> LineServer::listen()
{
    return m_listener.start();
}

void LineServer::accept(int descriptor)
{
    if (m_clients.size() >= m_connectionLimit) {
        ::close(descriptor);
        return;
    }
    const AcceptedConnectionId id(++m_lastId);
    auto& client = m_clients[id];
    client = std::make_unique<Client>();
    LineConnection::Handlers handlers;
    handlers.connected = [] {};
    handlers.line = [this, id](std::string_view line) {
        const auto clientId = id;
        onLine(clientId, line);
    };
    handlers.disconnected = [this, id](DisconnectReason reason) { onDisconnected(id, reason); };
    client->connection = std::make_unique<LineConnection>(m_base, descriptor, std::move(handlers));
}

void LineServer::onLine(AcceptedConnectionId id, std::string_view line)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    found->second->connection->pause();
    m_lineReceived.emit(id, line);
}

void LineServer::onDisconnected(AcceptedConnectionId id, DisconnectReason reason)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    const bool isClosing = found->second->isClosing;
    if (!isClosing)
        m_disconnected.emit(id, reason);
    // A slot may have sent a last message and closed the connection; it is kept until the message is sent.
    if (isClosing || reason != DisconnectReason::LineTooLong || !found->second->isClosing)
        m_clients.erase(id);
}

void LineServer::send(AcceptedConnectionId id, std::string_view text)
{
    const auto found = m_clients.find(id);
    if (found != m_clients.end())
        found->second->connection->send(text);
}

void LineServer::resume(AcceptedConnectionId id)
{
    const auto found = m_clients.find(id);
    if (found != m_clients.end())
        found->second->connection->resume();
}

void LineServer::close(AcceptedConnectionId id)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    found->second->isClosing = true;
    found->second->connection->whenFlushed([this, id] {
        const auto clientId = id;
        m_clients.erase(clientId);
    });
}

std::size_t LineServer::closeStalled(Instant now, Duration limit)
{
    std::vector<AcceptedConnectionId> stalled;
    for (auto& [id, client] : m_clients) {
        const auto bytes = client->connection->unreadBytes();
        if (bytes == 0 || bytes != client->lastUnreadBytes)
            client->stalledSince.reset();
        client->lastUnreadBytes = bytes;
        if (bytes > 0 && !client->stalledSince)
            client->stalledSince = now;
        if (client->stalledSince && now - *client->stalledSince >= limit)
            stalled.push_back(id);
    }
    for (const auto id : stalled)
        onDisconnected(id, DisconnectReason::Closed);
    return stalled.size();
}

bool LineServer::isFlushed() const
{
    for (const auto& [id, client] : m_clients) {
        if (!client->connection->isFlushed())
            return false;
    }
    return true;
}

} // namespace Auburnpost::Wire
