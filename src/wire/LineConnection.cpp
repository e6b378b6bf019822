#include "wire/LineConnection.h"

#include "wire/LineFraming.h"
#include "wire/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace Auburnpost::Wire {

struct LineConnection::Callbacks {
    static void read(bufferevent*, void* self) { static_cast<LineConnection*>(self)->onReadable(); }
    static void written(bufferevent*, void* self) { static_cast<LineConnection*>(self)->onFlushed(); }
    static void event(bufferevent*, short what, void* self) { static_cast<LineConnection*>(self)->onEvent(what); }
};

LineConnection::LineConnection(event_base* base, int descriptor, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_bufferevent(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_isConnected(true)
{
    setTcpOptions(descriptor);
    start();
}

LineConnection::LineConnection(event_base* base, const SocketAddress& address, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_bufferevent(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    start();
    const auto target = toSockaddr(address);
    // A failure is reported by the event callback.
    (void)bufferevent_socket_connect(m_bufferevent, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

LineConnection::~LineConnection()
{
    if (m_destroyedFlag)
        *m_destroyedFlag = true;
    bufferevent_free(m_bufferevent);
}

void LineConnection::start()
{
    const auto written = m_handlers.flushed ? &Callbacks::written : nullptr;
    bufferevent_setcb(m_bufferevent, &Callbacks::read, written, &Callbacks::event, this);
    bufferevent_setwatermark(m_bufferevent, EV_READ, 0, maxLineBytes);
    bufferevent_enable(m_bufferevent, EV_READ | EV_WRITE);
}

void LineConnection::send(std::string_view text)
{
    bufferevent_write(m_bufferevent, text.data(), text.size());
}

void LineConnection::sendNow(std::string_view text)
{
    // An error occurs again when the rest is sent.
    const auto sent = ::send(bufferevent_getfd(m_bufferevent), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    text.remove_prefix(sent > 0 ? static_cast<std::size_t>(sent) : 0);
    if (!text.empty())
        send(text);
}

void LineConnection::whenFlushed(std::function<void()> flushed)
{
    m_flushed = std::move(flushed);
    bufferevent_setcb(m_bufferevent, &Callbacks::read, &Callbacks::written, &Callbacks::event, this);
    if (isFlushed())
        bufferevent_trigger(m_bufferevent, EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void LineConnection::onFlushed()
{
    // The callback may destroy this object and with it the function.
    const auto flushed = m_flushed ? m_flushed : m_handlers.flushed;
    flushed();
}

void LineConnection::pause()
{
    m_isPaused = true;
}

void LineConnection::resume()
{
    m_isPaused = false;
    if (!m_isReading && evbuffer_get_length(bufferevent_get_input(m_bufferevent)) > 0)
        bufferevent_trigger(m_bufferevent, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void LineConnection::setReadLimit(std::size_t bytes)
{
    bufferevent_setwatermark(m_bufferevent, EV_READ, 0, bytes);
}

void LineConnection::setResetOnClose()
{
    const linger reset { 1, 0 };
    // The error for a socket that is not open yet is ignored, as nothing was sent on it.
    (void)setsockopt(bufferevent_getfd(m_bufferevent), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

bool LineConnection::isFlushed() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bufferevent)) == 0;
}

std::size_t LineConnection::unreadBytes() const
{
    return evbuffer_get_length(bufferevent_get_input(m_bufferevent));
}

std::size_t LineConnection::unwrittenBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bufferevent));
}

std::size_t LineConnection::undeliveredBytes() const
{
    return unwrittenBytes() + unacknowledgedBytes(bufferevent_getfd(m_bufferevent));
}

void LineConnection::onReadable()
{
    if (m_isReading)
        return;
    bool isDestroyed = false;
    m_destroyedFlag = &isDestroyed;
    m_isReading = true;
    auto* const input = bufferevent_get_input(m_bufferevent);
    while (!m_isPaused) {
        const auto line = LineFraming::takeLine(input, m_searchedBytes);
        if (!line)
            break;
        m_handlers.line(*line);
        if (isDestroyed)
            return;
    }
    m_isReading = false;
    m_destroyedFlag = nullptr;
    if (m_isPaused)
        return;
    const auto lineBytes = evbuffer_get_length(input);
    if (lineBytes >= maxLineBytes)
        reportDisconnect(DisconnectReason::LineTooLong);
    else if (lineBytes > 0 && m_handlers.partialLine)
        m_handlers.partialLine(lineBytes);
}

void LineConnection::onEvent(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        m_isConnected = true;
        setTcpOptions(bufferevent_getfd(m_bufferevent));
        m_handlers.connected();
        return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        reportDisconnect(m_isConnected ? DisconnectReason::Closed : DisconnectReason::ConnectFailed);
}

void LineConnection::reportDisconnect(DisconnectReason reason)
{
    // After a line that is too long the owner may still send an error reply.
    const short disabledEvents = reason == DisconnectReason::LineTooLong ? EV_READ : EV_READ | EV_WRITE;
    bufferevent_disable(m_bufferevent, disabledEvents);
    // The handler may destroy this object and with it m_handlers.
    const auto disconnected = m_handlers.disconnected;
    disconnected(reason);
}

} // namespace Auburnpost::Wire
