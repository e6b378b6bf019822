#include "wire/FullListener.h"

#include "wire/SocketOptions.h"

#include <array>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int waitMs = 2000;
/// Time without an event after which none is expected any more.
constexpr int quietMs = 50;

bool isReady(int descriptor, short events, int timeoutMs)
{
    pollfd entry { descriptor, events, 0 };
    return poll(&entry, 1, timeoutMs) == 1;
}

} // namespace

FullListener::FullListener()
    : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    const auto any = Auburnpost::Wire::toSockaddr({ "127.0.0.1", 0 });
    (void)bind(m_listener, reinterpret_cast<const sockaddr*>(&any), sizeof(any));
    (void)listen(m_listener, 0);
    m_address = Auburnpost::Wire::boundAddress(m_listener);
    const auto target = Auburnpost::Wire::toSockaddr(m_address);
    bool isFull = false;
    while (!isFull) {
        m_clients.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        (void)connect(m_clients.back(), reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        isFull = !isReady(m_clients.back(), POLLOUT, quietMs);
    }
    // The attempt that did not succeed would otherwise be repeated and take the place of the test's connection.
    close(m_clients.back());
    m_clients.pop_back();
}

FullListener::~FullListener()
{
    for (const auto client : m_clients)
        close(client);
    close(m_listener);
}

void FullListener::acceptAll()
{
    for (std::size_t count = m_clients.size(); count > 0; --count)
        close(accept(m_listener, nullptr, nullptr));
}

bool FullListener::receive(std::string_view text) const
{
    if (!isReady(m_listener, POLLIN, waitMs))
        return false;
    const int connection = accept(m_listener, nullptr, nullptr);
    std::string received;
    std::array<char, 1024> bytes {};
    while (received.size() < text.size() && isReady(connection, POLLIN, waitMs)) {
        const auto size = read(connection, bytes.data(), bytes.size());
        if (size <= 0)
            break;
        received.append(bytes.data(), static_cast<std::size_t>(size));
    }
    close(connection);
    return received == text;
}
