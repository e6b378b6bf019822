#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "wire/Listener.h"
#include "wire/PeerReceiver.h"
#include "wire/PeerSender.h"

#include <sigc++/signal.h>

#include <map>
#include <memory>
#include <string>

namespace Auburnpost::Wire {

/// Limits of PeerTransport.
struct PeerTransportLimits {
    /// Maximum size of a sent or received message, in bytes.
    std::size_t messageBytes { 64UL * 1024 * 1024 };
    PeerSenderLimits sender;
};

/// Exchanges messages between hosts. Messages to a peer arrive in the order sent, each at most once; those in transit
/// are lost when a connection breaks. Each direction has its own connection.
class PeerTransport {
public:
    PeerTransport(event_base*, SocketAddress listenAddress, PeerTransportLimits = {});
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Starts receiving.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen() { return m_listener.start(); }

    /// Queues a message for a peer; the first message to a peer also starts the connection.
    /// @return nothing, ErrorCode::PeerUnreachable if the peer's queue is full, or ErrorCode::BadMessage if the message
    /// exceeds the size limit. After an error the message was not sent.
    Expected<void> send(const SocketAddress& peer, const std::string& bytes);
    /// Closes the connection to a peer and discards the messages queued for it.
    void drop(const SocketAddress& peer);

    sigc::signal<void(const std::string& bytes)>& received() { return m_received; }

    /// @return the number of peers to which messages are sent.
    [[nodiscard]] std::size_t peers() const { return m_senders.size(); }

private:
    void accept(int descriptor);

    event_base* m_base;
    PeerTransportLimits m_limits;
    Listener m_listener;
    std::uint64_t m_lastReceiver { 0 };
    std::map<std::uint64_t, std::unique_ptr<PeerReceiver>> m_receivers;
    std::map<SocketAddress, std::unique_ptr<PeerSender>> m_senders;
    sigc::signal<void(const std::string&)> m_received;
};

} // namespace Auburnpost::Wire
