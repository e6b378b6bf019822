#include "process/LoopbackSocket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Auburnpost::Test {

namespace {

    sockaddr_in loopbackAddress(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

} // namespace

LoopbackSocket::~LoopbackSocket()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

LoopbackSocket::LoopbackSocket(LoopbackSocket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

LoopbackSocket& LoopbackSocket::operator=(LoopbackSocket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

LoopbackSocket LoopbackSocket::connectTo(std::uint16_t port, int receiveBufferBytes)
{
    LoopbackSocket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(result.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receiveBufferBytes > 0)
        setsockopt(result.m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const auto address = loopbackAddress(port);
    if (connect(result.m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return {};
    return result;
}

LoopbackSocket LoopbackSocket::listenOn(std::uint16_t port)
{
    LoopbackSocket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = loopbackAddress(port);
    // A server that starts again listens on the port of its earlier connections.
    const int on = 1;
    setsockopt(result.m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(result.m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || listen(result.m_descriptor, SOMAXCONN) != 0)
        throw std::runtime_error("can't listen on 127.0.0.1");
    return result;
}

void LoopbackSocket::setNonBlocking() const
{
    fcntl(m_descriptor, F_SETFL, fcntl(m_descriptor, F_GETFL) | O_NONBLOCK);
}

void LoopbackSocket::setReceiveTimeout(int seconds) const
{
    const timeval timeout { seconds, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

void LoopbackSocket::shutDown() const
{
    shutdown(m_descriptor, SHUT_RDWR);
}

bool LoopbackSocket::sendAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto count = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool SocketReader::fill()
{
    char buffer[65536];
    const auto count = recv(m_socket.descriptor(), buffer, sizeof buffer, 0);
    if (count <= 0)
        return false;
    m_buffered.append(buffer, static_cast<std::size_t>(count));
    return true;
}

bool SocketReader::readLine(std::string& line)
{
    std::size_t searchFrom = 0;
    while (true) {
        const auto end = m_buffered.find("\r\n", searchFrom);
        if (end != std::string::npos) {
            line = m_buffered.substr(0, end);
            m_buffered.erase(0, end + 2);
            return true;
        }
        searchFrom = m_buffered.empty() ? 0 : m_buffered.size() - 1;
        if (!fill())
            return false;
    }
}

bool SocketReader::readBytes(std::size_t count, std::string& bytes)
{
    while (m_buffered.size() < count) {
        if (!fill())
            return false;
    }
    bytes = m_buffered.substr(0, count);
    m_buffered.erase(0, count);
    return true;
}

} // namespace Auburnpost::Test
