#include "wire/LineServer.h"

#include "wire/SocketOptions.h"

#include <unistd.h>

#include <optional>
#include <vector>

namespace Auburnpost::Wire {

struct LineServer::Client {
    std::unique_ptr<LineConnection> connection;
    /// Closed by the owner; only its output is awaited.
    bool isClosing { false };
    /// Since when an unfinished line has been held.
    std::optional<Instant> stalledSince;
    std::size_t stalledBytes { 0 };
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
    const LineClientId id(++m_lastId);
    auto& client = m_clients[id];
    client = std::make_unique<Client>();
    LineConnection::Handlers handlers;
    handlers.connected = [] {};
    handlers.line = [this, id](std::string_view line) {
        const auto source = id;
        onLine(source, line);
    };
    handlers.ended = [this, id](LineEnd reason) { onEnded(id, reason); };
    client->connection = std::make_unique<LineConnection>(m_base, descriptor, std::move(handlers));
}

void LineServer::onLine(LineClientId id, std::string_view line)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    found->second->connection->pause();
    m_arrived.emit(id, line);
}

void LineServer::onEnded(LineClientId id, LineEnd reason)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    const bool isClosing = found->second->isClosing;
    if (!isClosing)
        m_ended.emit(id, reason);
    // The owner may have closed it with a last message.
    if (isClosing || reason != LineEnd::TooLong || !found->second->isClosing)
        m_clients.erase(id);
}

void LineServer::send(LineClientId id, std::string_view text)
{
    const auto found = m_clients.find(id);
    if (found != m_clients.end())
        found->second->connection->send(text);
}

void LineServer::resume(LineClientId id)
{
    const auto found = m_clients.find(id);
    if (found != m_clients.end())
        found->second->connection->resume();
}

void LineServer::close(LineClientId id)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    found->second->isClosing = true;
    found->second->connection->whenFlushed([this, id] {
        const auto source = id;
        m_clients.erase(source);
    });
}

std::size_t LineServer::closeStalled(Instant now, Duration limit)
{
    std::vector<LineClientId> stalled;
    for (auto& [id, client] : m_clients) {
        const auto bytes = client->connection->unreadBytes();
        if (bytes == 0 || bytes != client->stalledBytes)
            client->stalledSince.reset();
        client->stalledBytes = bytes;
        if (bytes > 0 && !client->stalledSince)
            client->stalledSince = now;
        if (client->stalledSince && now - *client->stalledSince >= limit)
            stalled.push_back(id);
    }
    for (const auto id : stalled)
        onEnded(id, LineEnd::Closed);
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
