#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "wire/LibeventPointers.h"

#include <sigc++/signal.h>

#include <string_view>

namespace Auburnpost::Wire {

/// UDP datagrams between hosts. Any of them may be lost, doubled or come out of order.
class GossipSocket {
public:
    /// Bytes of a datagram that UDP carries at most.
    static constexpr std::size_t datagramLimit = 65507;

    GossipSocket(event_base*, SocketAddress);
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    /// Binds the socket and starts to receive.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    /// Sends one datagram, as far as the kernel takes it now.
    /// @return nothing, or ErrorCode::PeerUnreachable when it was not sent.
    Expected<void> send(const SocketAddress& peer, std::string_view bytes) const;

    sigc::signal<void(const SocketAddress& from, std::string_view bytes)>& received() { return m_received; }

    /// @return the address bound, with the port that the kernel chose when 0 was asked for.
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
