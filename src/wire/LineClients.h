#pragma once

#include "base/Ids.h"
#include "wire/LineConnection.h"

#include <sigc++/signal.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace Auburnpost::Wire {

/// Client side of the line protocol: the connections that this host opens.
class LineClients {
public:
    explicit LineClients(event_base*);
    ~LineClients();
    LineClients(const LineClients&) = delete;
    LineClients& operator=(const LineClients&) = delete;

    void open(ConnectionId, const SocketAddress&);
    void send(ConnectionId, std::string_view text);
    /// Resets a connection. No signal is emitted for it afterwards.
    void close(ConnectionId);

    sigc::signal<void(ConnectionId)>& connected() { return m_connected; }
    sigc::signal<void(ConnectionId, std::string_view line)>& lineReceived() { return m_lineReceived; }
    /// Emitted after a connection ended and was removed.
    sigc::signal<void(ConnectionId, DisconnectReason)>& disconnected() { return m_disconnected; }

private:
    void onDisconnected(ConnectionId, DisconnectReason);

    event_base* m_base;
    std::unordered_map<ConnectionId, std::unique_ptr<LineConnection>> m_connections;
    sigc::signal<void(ConnectionId)> m_connected;
    sigc::signal<void(ConnectionId, std::string_view)> m_lineReceived;
    sigc::signal<void(ConnectionId, DisconnectReason)> m_disconnected;
};

} // namespace Auburnpost::Wire
