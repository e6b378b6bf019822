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

/// How much PeerLinks holds, and how it finds a peer again.
struct PeerLinksLimits {
    std::size_t messageBytes { 64UL * 1024 * 1024 };
    /// Messages that wait for one peer; further ones are refused. At most 8192.
    int sendBufferMessages { 1024 };
    /// Messages received that wait for the loop.
    int receiveBufferMessages { 1024 };
    Duration reconnectMin { std::chrono::milliseconds(50) };
    Duration reconnectMax { std::chrono::seconds(1) };
};

/// Whole messages between hosts over nng: one socket that receives from all, and one per peer that sends.
/// To one peer messages arrive in the order sent, each at most once; a broken connection loses those on their way.
class PeerLinks {
public:
    PeerLinks(event_base*, SocketAddress listenAddress, PeerLinksLimits = {});
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /// Starts to receive. The port must not be 0.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();

    /// Queues a message for a peer, and starts to connect to it when it is new.
    /// @return nothing, or ErrorCode::PeerUnreachable when the peer's queue is full: the message was not sent;
    /// ErrorCode::BadMessage for one above the size limit.
    Expected<void> send(const SocketAddress& peer, const std::string& bytes);
    /// Forgets a peer and what waits for it.
    void drop(const SocketAddress& peer);

    sigc::signal<void(const std::string& bytes)>& received() { return m_received; }

    /// @return how many peers have a socket.
    [[nodiscard]] std::size_t peers() const { return m_senders.size(); }

private:
    class Socket;
    struct Callbacks;

    Expected<Socket*> senderTo(const SocketAddress&);
    void onReadable();

    event_base* m_base;
    SocketAddress m_listenAddress;
    PeerLinksLimits m_limits;
    std::unique_ptr<Socket> m_receiver;
    std::map<SocketAddress, std::unique_ptr<Socket>> m_senders;
    EventPointer m_readable;
    sigc::signal<void(const std::string&)> m_received;
};

} // namespace Auburnpost::Wire
