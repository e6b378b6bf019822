#include "wire/SocketOptions.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Auburnpost::Wire {

namespace {

    /// Time without an acknowledgement after which a connection fails, in milliseconds; above the longest pause of a
    /// healthy network link.
    constexpr unsigned tcpUserTimeoutMs = 6000;

} // namespace

void ignoreBrokenPipe()
{
    std::signal(SIGPIPE, SIG_IGN);
}

void setTcpOptions(int descriptor)
{
    const int on = 1;
    // Errors are ignored: without these options the connection works, but detects a loss later.
    (void)setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof(tcpUserTimeoutMs));
}

std::size_t unacknowledgedBytes(int descriptor)
{
    int queued = 0;
    return ioctl(descriptor, SIOCOUTQ, &queued) == 0 ? static_cast<std::size_t>(queued) : 0;
}

sockaddr_in toSockaddr(const SocketAddress& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

SocketAddress fromSockaddr(const sockaddr_in& address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return { text.data(), ntohs(address.sin_port) };
}

SocketAddress boundAddress(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return fromSockaddr(address);
}

} // namespace Auburnpost::Wire
