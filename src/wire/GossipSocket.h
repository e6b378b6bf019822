#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "wire/LibeventPointers.h"

#include <sigc++/signal.h>

#include <string_view>

namespace Auburnpost::Wire {

/// Sends and receives UDP datagrams between hosts. Datagrams may be lost, duplicated or reordered.
class GossipSocket {
public:
    /// Maximum payload of a UDP datagram over IPv4, in bytes.
    static constexpr std::size_t maxDatagramBytes = 65507;

    GossipSocket(event_base*, SocketAddress);
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    /// Binds the socket and starts receiving.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    /// Sends one datagram without blocking.
    /// @return nothing, or ErrorCode::PeerUnreachable when it was not sent.
    Expected<void> send(const SocketAddress& peer, std::string_view bytes) const;

    sigc::signal<void(const SocketAddress& from, std::string_view bytes)>& received() { return m_received; }

    /// @return the bound address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const { return m_address; }

private:
    struct Callbacks;

    void onReadable();

    event_base* m_base;
    SocketAddress m_address;
    int m_descriptor { -1 };
    EventPointer m_readable;
    sigc::signal<void(const SocketAddress&, std::string_view)> m_received;
};

} // namespace Auburnpost::Wire
