#include "wire/GossipSocket.h"

#include "wire/SocketOptions.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace Auburnpost::Wire {

namespace {

    /// Maximum datagrams handled per readable event, so that the other events of the loop are not delayed.
    constexpr int maxDatagramsPerEvent = 64;

} // namespace

struct GossipSocket::Callbacks {
    static void readable(evutil_socket_t, short, void* gossip) { static_cast<GossipSocket*>(gossip)->onReadable(); }
};

GossipSocket::GossipSocket(event_base* base, SocketAddress address)
    : m_base(base)
    , m_address(std::move(address))
{
}

GossipSocket::~GossipSocket()
{
    m_readable.reset();
    if (m_descriptor >= 0)
        close(m_descriptor);
}

Expected<void> GossipSocket::listen()
{
    const auto requestedAddress = toSockaddr(m_address);
    m_descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0
        || bind(m_descriptor, reinterpret_cast<const sockaddr*>(&requestedAddress), sizeof(requestedAddress)))
        return fail(ErrorCode::BadSettings, "listen", m_address.toString(), std::strerror(errno));
    m_address = boundAddress(m_descriptor);
    m_readable.reset(event_new(m_base, m_descriptor, EV_READ | EV_PERSIST, &Callbacks::readable, this));
    event_add(m_readable.get(), nullptr);
    return {};
}

Expected<void> GossipSocket::send(const SocketAddress& peer, std::string_view bytes) const
{
    const auto to = toSockaddr(peer);
    const auto sent
        = sendto(m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (sent < 0)
        return fail(ErrorCode::PeerUnreachable, "send datagram", peer.toString(), std::strerror(errno));
    return {};
}

void GossipSocket::onReadable()
{
    std::array<char, maxDatagramBytes> bytes;
    for (int count = 0; count < maxDatagramsPerEvent; ++count) {
        sockaddr_in from {};
        socklen_t fromSize = sizeof(from);
        const auto size
            = recvfrom(m_descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &fromSize);
        if (size < 0)
            return;
        m_received.emit(fromSockaddr(from), std::string_view(bytes.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace Auburnpost::Wire
