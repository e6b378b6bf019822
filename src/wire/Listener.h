#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "wire/LibeventPointers.h"

#include <functional>

namespace Auburnpost::Wire {

/// Listens on an address and passes the socket of each accepted connection to a handler.
class Listener {
public:
    using Handler = std::function<void(int descriptor)>;

    Listener(event_base*, SocketAddress, Handler);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// @return nothing, or an error with step "listen".
    Expected<void> start();
    void stop();
    /// @return the listening address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const { return m_address; }

private:
    static void accept(evconnlistener*, evutil_socket_t, sockaddr*, int, void* self);

    event_base* m_base;
    SocketAddress m_address;
    Handler m_handler;
    evconnlistener* m_listener { nullptr };
};

} // namespace Auburnpost::Wire
