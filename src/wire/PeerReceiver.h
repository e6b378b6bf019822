#pragma once

#include "wire/LibeventPointers.h"

#include <cstddef>
#include <functional>
#include <string>

namespace Auburnpost::Wire {

/// The connection of one peer that sends messages.
class PeerReceiver {
public:
    struct Handlers {
        std::function<void(const std::string& bytes)> received;
        /// Called when the connection has ended or the peer violated the framing. The receiver may be destroyed then.
        std::function<void()> ended;
    };

    /// @param messageBytes maximum size of a message; a longer one ends the connection.
    PeerReceiver(event_base*, int descriptor, std::size_t messageBytes, Handlers);
    ~PeerReceiver();
    PeerReceiver(const PeerReceiver&) = delete;
    PeerReceiver& operator=(const PeerReceiver&) = delete;

private:
    struct Callbacks;

    void onReadable();
    /// @return whether a message was removed from the input and handled.
    bool handleMessage(evbuffer* input);
    void end();

    std::size_t m_messageBytes;
    Handlers m_handlers;
    bool m_hasHeader { false };
    BuffereventPointer m_connection;
};

} // namespace Auburnpost::Wire
