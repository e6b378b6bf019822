#include "process/ThreadServer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace Auburnpost::Test {

ThreadServer::ThreadServer(Handler serve)
    : m_serve(std::move(serve))
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
            connection.shutDown();
    }
    m_acceptor.join();
    for (auto& thread : m_threads)
        thread.join();
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
        const int on = 1;
        setsockopt(accepted.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        m_connections.push_back(std::move(accepted));
        const auto connection = std::prev(m_connections.end());
        m_threads.emplace_back([this, connection] {
            m_serve(*connection);
            connection->shutDown();
        });
    }
}

} // namespace Auburnpost::Test
