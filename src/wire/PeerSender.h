#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "wire/LibeventPointers.h"

#include <cstddef>
#include <deque>
#include <string>

namespace Auburnpost::Wire {

/// Limits and reconnect intervals of a PeerSender.
struct PeerSenderLimits {
    /// Maximum messages that wait for the connection.
    std::size_t queuedMessages { 1024 };
    /// Delay before the next connection attempt. It doubles from the minimum to the maximum until the peer accepts one.
    Duration reconnectMin { std::chrono::milliseconds(50) };
    Duration reconnectMax { std::chrono::seconds(1) };
    /// Maximum time until the peer has accepted a connection and sent its header.
    Duration connectTimeout { std::chrono::seconds(2) };
};

/// The connection to one peer, established again whenever it is lost. Messages that wait survive the loss of the
/// connection; those already handed to it may be lost with it. None is sent twice.
class PeerSender {
public:
    PeerSender(event_base*, const SocketAddress&, PeerSenderLimits);
    ~PeerSender();
    PeerSender(const PeerSender&) = delete;
    PeerSender& operator=(const PeerSender&) = delete;

    /// Queues a message.
    /// @return whether there was room for it.
    [[nodiscard]] bool send(const std::string& bytes);

private:
    struct Callbacks;

    void connect();
    void startTimer(Duration);
    void onReadable();
    void onEvent(short what);
    void onTimer();
    void reconnectLater();
    void writeQueued();

    event_base* m_base;
    SocketAddress m_address;
    PeerSenderLimits m_limits;
    std::deque<std::string> m_queue;
    BuffereventPointer m_connection;
    /// Whether the peer has sent its header.
    bool m_isEstablished { false };
    Duration m_reconnectDelay;
    /// Ends a connection attempt, or starts the next one.
    EventPointer m_timer;
};

} // namespace Auburnpost::Wire
