#include "wire/LineConnection.h"

#include "wire/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <memory>

namespace Auburnpost::Wire {

namespace {

    /// A peer that acknowledges nothing for so long is gone; above the longest pause of a link that is well.
    constexpr unsigned unacknowledgedLimitMs = 6000;

    void setTcpOptions(int descriptor)
    {
        const int on = 1;
        // Without these options the connection works as well, only slower to notice a loss.
        (void)setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        (void)setsockopt(
            descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedLimitMs, sizeof(unacknowledgedLimitMs));
    }

} // namespace

struct LineConnection::Callbacks {
    static void read(bufferevent*, void* self) { static_cast<LineConnection*>(self)->onReadable(); }
    static void written(bufferevent*, void* self) { static_cast<LineConnection*>(self)->onFlushed(); }
    static void event(bufferevent*, short what, void* self) { static_cast<LineConnection*>(self)->onEvent(what); }
};

LineConnection::LineConnection(event_base* base, int descriptor, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_event(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_isConnected(true)
{
    setTcpOptions(descriptor);
    start();
}

LineConnection::LineConnection(event_base* base, const SocketAddress& address, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_event(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    start();
    const auto target = toSockaddr(address);
    // A failure is reported by the event callback.
    (void)bufferevent_socket_connect(m_event, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

LineConnection::~LineConnection()
{
    if (m_isDestroyed)
        *m_isDestroyed = true;
    bufferevent_free(m_event);
}

void LineConnection::start()
{
    bufferevent_setcb(m_event, &Callbacks::read, nullptr, &Callbacks::event, this);
    bufferevent_setwatermark(m_event, EV_READ, 0, lineLimit);
    bufferevent_enable(m_event, EV_READ | EV_WRITE);
}

void LineConnection::send(std::string_view text)
{
    bufferevent_write(m_event, text.data(), text.size());
}

void LineConnection::sendAtOnce(std::string_view text)
{
    // An error shows up again when the rest is sent.
    const auto sent = ::send(bufferevent_getfd(m_event), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    text.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (!text.empty())
        send(text);
}

void LineConnection::whenFlushed(std::function<void()> flushed)
{
    m_flushed = std::move(flushed);
    bufferevent_setcb(m_event, &Callbacks::read, &Callbacks::written, &Callbacks::event, this);
    if (isFlushed())
        bufferevent_trigger(m_event, EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void LineConnection::onFlushed()
{
    // The function may destroy this.
    const auto flushed = m_flushed;
    flushed();
}

void LineConnection::pause()
{
    m_isPaused = true;
}

void LineConnection::resume()
{
    m_isPaused = false;
    if (!m_isReading && evbuffer_get_length(bufferevent_get_input(m_event)) > 0)
        bufferevent_trigger(m_event, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void LineConnection::setReset()
{
    const linger reset { 1, 0 };
    // A socket that is not there yet has sent nothing.
    (void)setsockopt(bufferevent_getfd(m_event), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

bool LineConnection::isFlushed() const
{
    return evbuffer_get_length(bufferevent_get_output(m_event)) == 0;
}

std::size_t LineConnection::unreadBytes() const
{
    return evbuffer_get_length(bufferevent_get_input(m_event));
}

void LineConnection::onReadable()
{
    if (m_isReading)
        return;
    bool isDestroyed = false;
    m_isDestroyed = &isDestroyed;
    m_isReading = true;
    auto* const input = bufferevent_get_input(m_event);
    while (!m_isPaused) {
        std::size_t length = 0;
        const std::unique_ptr<char, decltype(&free)> line(evbuffer_readln(input, &length, EVBUFFER_EOL_CRLF), free);
        if (!line)
            break;
        m_handlers.line({ line.get(), length });
        if (isDestroyed)
            return;
    }
    m_isReading = false;
    m_isDestroyed = nullptr;
    if (!m_isPaused && evbuffer_get_length(input) >= lineLimit)
        end(LineEnd::TooLong);
}

void LineConnection::onEvent(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        m_isConnected = true;
        setTcpOptions(bufferevent_getfd(m_event));
        m_handlers.connected();
        return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        end(m_isConnected ? LineEnd::Closed : LineEnd::Refused);
}

void LineConnection::end(LineEnd reason)
{
    // After a line that is too long the owner may still send its refusal.
    const short over = reason == LineEnd::TooLong ? EV_READ : EV_READ | EV_WRITE;
    bufferevent_disable(m_event, over);
    // The handler may destroy this.
    const auto ended = m_handlers.ended;
    ended(reason);
}

} // namespace Auburnpost::Wire
