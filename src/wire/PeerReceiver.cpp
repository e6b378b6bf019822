#include "wire/PeerReceiver.h"

#include "wire/PeerFraming.h"
#include "wire/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace Auburnpost::Wire {

namespace {

    /// Maximum messages handled per readable event, so that the other events of the loop are not delayed.
    constexpr int maxMessagesPerEvent = 64;

} // namespace

struct PeerReceiver::Callbacks {
    static void read(bufferevent*, void* self) { static_cast<PeerReceiver*>(self)->onReadable(); }
    static void event(bufferevent*, short what, void* self)
    {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<PeerReceiver*>(self)->end();
    }
};

PeerReceiver::PeerReceiver(event_base* base, int descriptor, std::size_t messageBytes, Handlers handlers)
    : m_messageBytes(messageBytes)
    , m_handlers(std::move(handlers))
    , m_connection(bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    setTcpOptions(descriptor);
    bufferevent_setcb(m_connection.get(), &Callbacks::read, nullptr, &Callbacks::event, this);
    bufferevent_enable(m_connection.get(), EV_READ | EV_WRITE);
    bufferevent_write(m_connection.get(), PeerFraming::receiverHeader.data(), PeerFraming::receiverHeader.size());
}

PeerReceiver::~PeerReceiver() = default;

void PeerReceiver::onReadable()
{
    auto* const input = bufferevent_get_input(m_connection.get());
    if (!m_hasHeader) {
        const auto state = PeerFraming::readHeader(input, PeerFraming::senderHeader);
        if (state == PeerFraming::HeaderState::Refused)
            end();
        if (state != PeerFraming::HeaderState::Accepted)
            return;
        m_hasHeader = true;
    }
    for (int count = 0; count < maxMessagesPerEvent; ++count) {
        if (!handleMessage(input))
            return;
    }
    // The rest is handled after the other events of the loop.
    bufferevent_trigger(m_connection.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

bool PeerReceiver::handleMessage(evbuffer* input)
{
    const auto size = PeerFraming::peekLength(input);
    if (!size)
        return false;
    if (*size > m_messageBytes) {
        end();
        return false;
    }
    if (evbuffer_get_length(input) < PeerFraming::lengthBytes + *size)
        return false;
    std::string message(*size, '\0');
    evbuffer_drain(input, PeerFraming::lengthBytes);
    evbuffer_remove(input, message.data(), message.size());
    m_handlers.received(message);
    return true;
}

void PeerReceiver::end()
{
    // The handler may destroy this object and with it the stored function.
    const auto ended = m_handlers.ended;
    ended();
}

} // namespace Auburnpost::Wire
