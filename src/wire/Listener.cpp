#include "wire/Listener.h"

#include "wire/SocketOptions.h"

#include <event2/listener.h>

namespace Auburnpost::Wire {

namespace {

    /// Maximum connections that the kernel queues until they are accepted; a full queue delays further ones by seconds.
    constexpr int acceptBacklog = 1024;

} // namespace

Listener::Listener(event_base* base, SocketAddress address, Handler handler)
    : m_base(base)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{
}

Listener::~Listener()
{
    stop();
}

void Listener::accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self)
{
    static_cast<Listener*>(self)->m_handler(descriptor);
}

Expected<void> Listener::start()
{
    const auto address = toSockaddr(m_address);
    m_listener = evconnlistener_new_bind(m_base, &Listener::accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        acceptBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (!m_listener)
        return fail(ErrorCode::BadSettings, "listen", m_address.toString(), "the address can't be bound");
    m_address = boundAddress(evconnlistener_get_fd(m_listener));
    return {};
}

void Listener::stop()
{
    if (m_listener)
        evconnlistener_free(std::exchange(m_listener, nullptr));
}

} // namespace Auburnpost::Wire
