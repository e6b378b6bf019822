#pragma once

#include "base/SocketAddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A TCP server whose replies are scripted by a test.
class RawServer {
public:
    /// Bytes to send, and whether to close the connection after them.
    struct Reply {
        std::string bytes;
        bool thenClose { false };
    };
    struct Session {
        std::size_t number { 0 };
        /// Received bytes that the handler has not removed yet.
        std::string input;
        std::unique_ptr<bufferevent, void (*)(bufferevent*)> buffer { nullptr, bufferevent_free };
    };
    /// Called when bytes were received.
    using Handler = std::function<void(Session&)>;

    RawServer(event_base*, Handler, std::uint16_t port = 0);

    [[nodiscard]] const Auburnpost::SocketAddress& address() const { return m_address; }
    /// Stops listening; open connections stay open.
    void stopListening() { m_listener.reset(); }
    static void send(Session&, const Reply&);
    /// Sends on every open connection.
    void push(const Reply&);
    /// @return the number of connections accepted so far.
    [[nodiscard]] std::size_t accepted() const { return m_sessions.size(); }

private:
    struct Callbacks;

    Auburnpost::SocketAddress m_address;
    Handler m_handler;
    std::vector<std::unique_ptr<Session>> m_sessions;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> m_listener;
};
