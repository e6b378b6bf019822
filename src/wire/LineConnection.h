#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct event_base;

namespace Auburnpost::Wire {

/// Why a line connection ended.
enum class DisconnectReason : std::uint8_t {
    /// The peer closed the connection, or it failed after it was established.
    Closed,
    /// The connection could not be established.
    ConnectFailed,
    /// A line exceeded the length limit.
    LineTooLong,
};

/// One TCP connection that carries lines of text as LineFraming divides them. The owner may destroy it within the
/// handlers for a line and for the end of the connection.
class LineConnection {
public:
    struct Handlers {
        std::function<void()> connected;
        std::function<void(std::string_view line)> line;
        std::function<void(DisconnectReason)> disconnected;
        /// Called when more of an incomplete line was received. May be empty.
        std::function<void(std::size_t lineBytes)> partialLine {};
        /// Called when all output is written to the socket. May be empty.
        std::function<void()> flushed {};
    };

    /// Maximum length of a line with its line end, in bytes.
    static constexpr std::size_t maxLineBytes = 1024UL * 1024;

    /// Takes ownership of an accepted socket.
    LineConnection(event_base*, int descriptor, Handlers);
    /// Connects to an address.
    LineConnection(event_base*, const SocketAddress&, Handlers);
    ~LineConnection();
    LineConnection(const LineConnection&) = delete;
    LineConnection& operator=(const LineConnection&) = delete;

    void send(std::string_view text);
    /// Writes to the socket immediately as much as it accepts; the rest is queued as by send(). Output that is already
    /// queued would be overtaken, so there must be none.
    void sendNow(std::string_view text);
    /// Calls @p flushed from the loop once all output is written to the socket.
    void whenFlushed(std::function<void()> flushed);
    /// Reports no further line until resume(); input is buffered up to the read limit.
    void pause();
    void resume();
    /// Sets the number of bytes of input up to which the socket is read; at first the length limit of a line.
    void setReadLimit(std::size_t bytes);
    /// Makes the end of the connection a reset, so that data which is queued or in transit is not delivered afterwards.
    void setResetOnClose();
    /// @return whether all output is written to the socket.
    [[nodiscard]] bool isFlushed() const;
    /// @return the number of received bytes that are not reported as lines yet.
    [[nodiscard]] std::size_t unreadBytes() const;
    /// @return the number of bytes of output that are not written to the socket.
    [[nodiscard]] std::size_t unwrittenBytes() const;
    /// @return the number of bytes of output that the peer's host has not acknowledged.
    [[nodiscard]] std::size_t undeliveredBytes() const;

private:
    struct Callbacks;

    void start();
    void onReadable();
    void onFlushed();
    void onEvent(short what);
    void reportDisconnect(DisconnectReason);

    Handlers m_handlers;
    std::function<void()> m_flushed;
    bufferevent* m_bufferevent { nullptr };
    /// Number of bytes at the start of the input that were searched for a line end.
    std::size_t m_searchedBytes { 0 };
    bool m_isConnected { false };
    bool m_isPaused { false };
    bool m_isReading { false };
    /// Set while onReadable() runs; the destructor stores true in it.
    bool* m_destroyedFlag { nullptr };
};

} // namespace Auburnpost::Wire
