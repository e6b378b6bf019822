#include "process/ThreadServer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace Auburnpost::Test {

ThreadServer::ThreadServer(Handler serve, std::uint16_t port)
    : m_serve(std::move(serve))
    , m_port(port)
    , m_acceptor([this] { acceptConnections(); })
{
}

ThreadServer::~ThreadServer()
{
    stop();
}

void ThreadServer::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isStopping, true))
            return;
        m_listener.shutDown();
        for (const auto& connection : m_connections)
            connection.socket.shutDown();
    }
    m_acceptor.join();
    for (auto& connection : m_connections)
        connection.thread.join();
}

void ThreadServer::removeServedConnections()
{
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        if (!connection->isServed) {
            ++connection;
            continue;
        }
        connection->thread.join();
        connection = m_connections.erase(connection);
    }
}

void ThreadServer::acceptConnections()
{
    while (true) {
        LoopbackSocket accepted(accept4(m_listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return;
        if (!accepted.isOpen())
            continue;
        removeServedConnections();
        const int on = 1;
        setsockopt(accepted.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto& connection = m_connections.emplace_back();
        connection.socket = std::move(accepted);
        connection.thread = std::thread([this, &connection] {
            m_serve(connection.socket);
            connection.socket.shutDown();
            const std::lock_guard served(m_mutex);
            connection.isServed = true;
        });
    }
}

} // namespace Auburnpost::Test
