#include "wire/LineLinks.h"

#include "wire/SocketOptions.h"

namespace Auburnpost::Wire {

LineLinks::LineLinks(event_base* base)
    : m_base(base)
{
    ignoreBrokenPipe();
}

LineLinks::~LineLinks() = default;

void LineLinks::open(ConnectionId id, const SocketAddress& address)
{
    LineConnection::Handlers handlers;
    handlers.connected = [this, id] {
        const auto source = id;
        m_connected.emit(source);
    };
    // A slot may close the connection, which destroys this function with its captures.
    handlers.line = [this, id](std::string_view line) {
        const auto source = id;
        m_arrived.emit(source, line);
    };
    handlers.ended = [this, id](LineEnd reason) { onEnded(id, reason); };
    m_links[id] = std::make_unique<LineConnection>(m_base, address, std::move(handlers));
}

void LineLinks::send(ConnectionId id, std::string_view text)
{
    const auto found = m_links.find(id);
    if (found != m_links.end())
        found->second->send(text);
}

void LineLinks::close(ConnectionId id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end())
        return;
    found->second->setReset();
    m_links.erase(found);
}

void LineLinks::onEnded(ConnectionId id, LineEnd reason)
{
    m_links.erase(id);
    m_ended.emit(id, reason);
}

} // namespace Auburnpost::Wire
