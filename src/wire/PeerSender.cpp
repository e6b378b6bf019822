#include "wire/PeerSender.h"

#include "wire/LoopTime.h"
#include "wire/PeerFraming.h"
#include "wire/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>

namespace Auburnpost::Wire {

namespace {

    /// Bytes handed to the connection beyond which messages stay in the queue.
    constexpr std::size_t maxOutputBytes = 256UL * 1024;

} // namespace

struct PeerSender::Callbacks {
    static void read(bufferevent*, void* self) { static_cast<PeerSender*>(self)->onReadable(); }
    static void written(bufferevent*, void* self) { static_cast<PeerSender*>(self)->writeQueued(); }
    static void event(bufferevent*, short what, void* self) { static_cast<PeerSender*>(self)->onEvent(what); }
    static void timer(evutil_socket_t, short, void* self) { static_cast<PeerSender*>(self)->onTimer(); }
};

PeerSender::PeerSender(event_base* base, const SocketAddress& address, PeerSenderLimits limits)
    : m_base(base)
    , m_address(address)
    , m_limits(limits)
    , m_reconnectDelay(limits.reconnectMin)
    , m_timer(event_new(base, -1, 0, &Callbacks::timer, this))
{
    connect();
}

PeerSender::~PeerSender() = default;

bool PeerSender::send(const std::string& bytes)
{
    if (m_queue.size() >= m_limits.queuedMessages)
        return false;
    m_queue.push_back(bytes);
    writeQueued();
    return true;
}

void PeerSender::connect()
{
    m_connection.reset(bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    auto* const connection = m_connection.get();
    bufferevent_setcb(connection, &Callbacks::read, &Callbacks::written, &Callbacks::event, this);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    bufferevent_write(connection, PeerFraming::senderHeader.data(), PeerFraming::senderHeader.size());
    const auto target = toSockaddr(m_address);
    startTimer(m_limits.connectTimeout);
    // A failure is reported by the event callback.
    (void)bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

void PeerSender::startTimer(Duration delay)
{
    const auto timeout = toTimeval(delay);
    event_add(m_timer.get(), &timeout);
}

void PeerSender::onReadable()
{
    auto* const input = bufferevent_get_input(m_connection.get());
    if (m_isEstablished) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    switch (PeerFraming::readHeader(input, PeerFraming::receiverHeader)) {
    case PeerFraming::HeaderState::Incomplete:
        return;
    case PeerFraming::HeaderState::Refused:
        reconnectLater();
        return;
    case PeerFraming::HeaderState::Accepted:
        event_del(m_timer.get());
        m_isEstablished = true;
        m_reconnectDelay = m_limits.reconnectMin;
        writeQueued();
    }
}

void PeerSender::onEvent(short what)
{
    if (what & BEV_EVENT_CONNECTED)
        setTcpOptions(bufferevent_getfd(m_connection.get()));
    else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        reconnectLater();
}

void PeerSender::onTimer()
{
    if (m_connection)
        reconnectLater();
    else
        connect();
}

void PeerSender::reconnectLater()
{
    m_connection.reset();
    m_isEstablished = false;
    startTimer(m_reconnectDelay);
    m_reconnectDelay = std::min(2 * m_reconnectDelay, m_limits.reconnectMax);
}

void PeerSender::writeQueued()
{
    if (!m_isEstablished)
        return;
    auto* const output = bufferevent_get_output(m_connection.get());
    while (!m_queue.empty() && evbuffer_get_length(output) < maxOutputBytes) {
        const auto& message = m_queue.front();
        const auto length = PeerFraming::encodeLength(message.size());
        evbuffer_add(output, length.data(), length.size());
        evbuffer_add(output, message.data(), message.size());
        m_queue.pop_front();
    }
}

} // namespace Auburnpost::Wire
