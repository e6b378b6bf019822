#pragma once

#include "base/SocketAddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// A TCP server whose every reply a test scripts.
class RawServer {
public:
    /// Bytes to send, and whether to close after them.
    struct Reply {
        std::string bytes;
        bool thenClose { false };
    };
    struct Session {
        std::size_t number { 0 };
        /// What came and was not yet taken out by the handler.
        std::string input;
        std::unique_ptr<bufferevent, void (*)(bufferevent*)> buffer { nullptr, bufferevent_free };
    };
    /// Called when bytes arrive.
    using Handler = std::function<void(Session&)>;

    RawServer(event_base*, Handler, std::uint16_t port = 0);

    [[nodiscard]] const Auburnpost::SocketAddress& address() const { return m_address; }
    /// Stops to listen; what is open stays.
    void stopListening() { m_listener.reset(); }
    static void send(Session&, const Reply&);
    /// Sends on every open connection.
    void push(const Reply&);
    /// @return how many connections there were so far.
    [[nodiscard]] std::size_t accepted() const { return m_sessions.size(); }

private:
    struct Callbacks;

    Auburnpost::SocketAddress m_address;
    Handler m_handler;
    std::vector<std::unique_ptr<Session>> m_sessions;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> m_listener;
};
