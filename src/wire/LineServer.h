#pragma once

#include "base/Expected.h"
#include "base/StrongId.h"
#include "wire/LineConnection.h"
#include "wire/Listener.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace Auburnpost::Wire {

/// Identifies one accepted connection; not reused during the lifetime of the server.
using AcceptedConnectionId = StrongId<std::uint64_t, struct AcceptedConnectionIdTag>;

/// Server of the line protocol on one address. After each line a connection reports no further one until resume().
class LineServer {
public:
    /// @param connectionLimit maximum open connections; further ones are closed immediately.
    /// @param idBase connection ids start after this value, so that two servers can share one id space without
    /// conflicts.
    LineServer(event_base*, SocketAddress, std::size_t connectionLimit, std::uint64_t idBase = 0);
    ~LineServer();
    LineServer(const LineServer&) = delete;
    LineServer& operator=(const LineServer&) = delete;

    /// Starts listening.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    void stopListening() { m_listener.stop(); }

    void send(AcceptedConnectionId, std::string_view text);
    void resume(AcceptedConnectionId);
    /// Closes a connection once its output is sent.
    void close(AcceptedConnectionId);
    /// Closes connections whose number of unread bytes is above zero and has not changed for @p limit, as observed by
    /// the calls of this function. Unread are an unfinished line and all lines that wait for resume().
    /// @return the number of closed connections.
    std::size_t closeStalled(Instant now, Duration limit);
    /// @return the listening address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const { return m_listener.address(); }
    /// @return whether the output of all connections, also of closing ones, is sent.
    [[nodiscard]] bool isFlushed() const;

    sigc::signal<void(AcceptedConnectionId, std::string_view line)>& lineReceived() { return m_lineReceived; }
    /// Emitted when a connection ended or sent a line above the length limit. The connection is removed after the
    /// signal, unless a slot closed it because of the line: then it is removed once its output is sent.
    /// Not emitted for a connection that the owner has closed before.
    sigc::signal<void(AcceptedConnectionId, DisconnectReason)>& disconnected() { return m_disconnected; }

private:
    struct Client;

    void accept(int descriptor);
    void onLine(AcceptedConnectionId, std::string_view line);
    void onDisconnected(AcceptedConnectionId, DisconnectReason);

    event_base* m_base;
    Listener m_listener;
    std::size_t m_connectionLimit;
    std::uint64_t m_lastId;
    std::unordered_map<AcceptedConnectionId, std::unique_ptr<Client>> m_clients;
    sigc::signal<void(AcceptedConnectionId, std::string_view)> m_lineReceived;
    sigc::signal<void(AcceptedConnectionId, DisconnectReason)> m_disconnected;
};

} // namespace Auburnpost::Wire
