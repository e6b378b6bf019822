#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "wire/LibeventPointers.h"

#include <sigc++/signal.h>

#include <map>
#include <memory>
#include <string>

namespace Auburnpost::Wire {

/// Limits and reconnect intervals of PeerTransport.
struct PeerTransportLimits {
    /// Maximum size of a sent or received message, in bytes.
    std::size_t messageBytes { 64UL * 1024 * 1024 };
    /// Maximum messages queued for one peer; further ones are refused. At most 8192.
    int sendBufferMessages { 1024 };
    /// Maximum received messages queued for the event loop.
    int receiveBufferMessages { 1024 };
    Duration reconnectMin { std::chrono::milliseconds(50) };
    Duration reconnectMax { std::chrono::seconds(1) };
};

/// Exchanges messages between hosts over nng, with one socket that receives from all peers and one sending socket per
/// peer. Messages to a peer arrive in the order sent, each at most once; those in transit are lost when a connection
/// breaks.
class PeerTransport {
public:
    PeerTransport(event_base*, SocketAddress listenAddress, PeerTransportLimits = {});
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Starts receiving. The port must not be 0.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();

    /// Queues a message for a peer; the first message to a peer also starts the connection.
    /// @return nothing, ErrorCode::PeerUnreachable if the peer's queue is full or its socket can't be opened, or
    /// ErrorCode::BadMessage if the message exceeds the size limit. After an error the message was not sent.
    Expected<void> send(const SocketAddress& peer, const std::string& bytes);
    /// Closes the socket for a peer and discards the messages queued for it.
    void drop(const SocketAddress& peer);

    sigc::signal<void(const std::string& bytes)>& received() { return m_received; }

    /// @return the number of peers that have a sending socket.
    [[nodiscard]] std::size_t peers() const { return m_senders.size(); }

private:
    class Socket;
    struct Callbacks;

    Expected<Socket*> findOrOpenSender(const SocketAddress&);
    void onReadable();

    event_base* m_base;
    SocketAddress m_listenAddress;
    PeerTransportLimits m_limits;
    std::unique_ptr<Socket> m_receiver;
    std::map<SocketAddress, std::unique_ptr<Socket>> m_senders;
    EventPointer m_readable;
    sigc::signal<void(const std::string&)> m_received;
};

} // namespace Auburnpost::Wire
