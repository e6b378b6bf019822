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
enum class LineEnd : std::uint8_t {
    /// The other side closed, or the network failed after the connection stood.
    Closed,
    /// It never stood.
    Refused,
    /// A line was longer than the limit.
    TooLong,
};

/// One TCP connection that carries lines of text. Its owner is told of each line and of the end, and may close it in
/// either call.
class LineConnection {
public:
    struct Handlers {
        std::function<void()> connected;
        std::function<void(std::string_view line)> line;
        std::function<void(LineEnd)> ended;
    };

    /// The longest line that is taken, with its end.
    static constexpr std::size_t lineLimit = 1024UL * 1024;

    /// Takes over an accepted socket.
    LineConnection(event_base*, int descriptor, Handlers);
    /// Connects to an address.
    LineConnection(event_base*, const SocketAddress&, Handlers);
    ~LineConnection();
    LineConnection(const LineConnection&) = delete;
    LineConnection& operator=(const LineConnection&) = delete;

    void send(std::string_view text);
    /// Writes to the socket before it returns, as far as that takes it; the rest follows as with send().
    void sendAtOnce(std::string_view text);
    /// Calls @p flushed from the loop once all that was sent has gone to the kernel.
    void whenFlushed(std::function<void()> flushed);
    /// Hands out no more lines until resume(); what arrives is kept up to the limit.
    void pause();
    void resume();
    /// Ends the connection so that nothing that it sent and that is still on its way arrives later.
    void setReset();
    /// @return whether all that was sent has gone to the kernel.
    [[nodiscard]] bool isFlushed() const;
    /// @return how many bytes of an unfinished line have arrived.
    [[nodiscard]] std::size_t unreadBytes() const;

private:
    struct Callbacks;

    void start();
    void onReadable();
    void onFlushed();
    void onEvent(short what);
    void end(LineEnd);

    Handlers m_handlers;
    std::function<void()> m_flushed;
    bufferevent* m_event { nullptr };
    bool m_isConnected { false };
    bool m_isPaused { false };
    bool m_isReading { false };
    /// Tells onReadable() that a handler destroyed this.
    bool* m_isDestroyed { nullptr };
};

} // namespace Auburnpost::Wire
