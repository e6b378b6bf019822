#pragma once

#include "process/ChildProcess.h"
#include "process/LoopbackSocket.h"

#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace Auburnpost::Test {

/// Serves each connection to a port of 127.0.0.1 in a thread of its own.
class ThreadServer {
public:
    using Handler = std::function<void(const LoopbackSocket&)>;

    /// @param serve called for each connection; the connection is closed when it returns. It must return once reads
    /// from the connection fail.
    /// @param port port of 127.0.0.1 to listen on.
    explicit ThreadServer(Handler serve, std::uint16_t port = freePort());
    ~ThreadServer();
    ThreadServer(const ThreadServer&) = delete;
    ThreadServer& operator=(const ThreadServer&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// Ends all connections and threads.
    void stop();

private:
    struct Connection {
        LoopbackSocket socket;
        std::thread thread;
        bool isServed { false };
    };

    void acceptConnections();
    /// Frees the connections that are served, as a soak opens more of them than a process may have descriptors.
    void removeServedConnections();

    Handler m_serve;
    std::uint16_t m_port;
    LoopbackSocket m_listener { LoopbackSocket::listenOn(m_port) };
    std::mutex m_mutex;
    bool m_isStopping { false };
    std::list<Connection> m_connections;
    std::thread m_acceptor;
};

} // namespace Auburnpost::Test
