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

/// Names one accepted connection, for as long as the server lives.
using LineClientId = StrongId<std::uint64_t, struct LineClientIdTag>;

/// Lines of text on one address. Each connection hands out one line at a time: the next after resume().
class LineServer {
public:
    /// @param idBase connections are numbered from here on, so that two servers may share one space of ids.
    LineServer(event_base*, SocketAddress, std::size_t connectionLimit, std::uint64_t idBase = 0);
    ~LineServer();
    LineServer(const LineServer&) = delete;
    LineServer& operator=(const LineServer&) = delete;

    /// Starts to listen.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    void stopListening() { m_listener.stop(); }

    void send(LineClientId, std::string_view text);
    void resume(LineClientId);
    /// Closes a connection once what was sent to it has gone out.
    void close(LineClientId);
    /// Closes connections that have held an unfinished line since before @p now - @p limit.
    /// @return how many.
    std::size_t closeStalled(Instant now, Duration limit);
    /// @return the address listened on, with the port that the kernel chose when 0 was asked for.
    [[nodiscard]] const SocketAddress& address() const { return m_listener.address(); }
    /// @return whether closed connections still have something to send.
    [[nodiscard]] bool isFlushed() const;

    sigc::signal<void(LineClientId, std::string_view line)>& arrived() { return m_arrived; }
    /// The connection ended, or sent a line above the limit. It is forgotten after the call unless it was closed.
    sigc::signal<void(LineClientId, LineEnd)>& ended() { return m_ended; }

private:
    struct Client;

    void accept(int descriptor);
    void onLine(LineClientId, std::string_view line);
    void onEnded(LineClientId, LineEnd);

    event_base* m_base;
    Listener m_listener;
    std::size_t m_connectionLimit;
    std::uint64_t m_lastId;
    std::unordered_map<LineClientId, std::unique_ptr<Client>> m_clients;
    sigc::signal<void(LineClientId, std::string_view)> m_arrived;
    sigc::signal<void(LineClientId, LineEnd)> m_ended;
};

} // namespace Auburnpost::Wire
