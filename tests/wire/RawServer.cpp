#include "wire/RawServer.h"

#include "wire/SocketOptions.h"

#include <event2/buffer.h>

struct RawServer::Callbacks {
    static void accept(evconnlistener* listener, evutil_socket_t descriptor, sockaddr*, int, void* argument)
    {
        auto& server = *static_cast<RawServer*>(argument);
        auto session = std::make_unique<Session>();
        session->number = server.m_sessions.size();
        auto* const buffer
            = bufferevent_socket_new(evconnlistener_get_base(listener), descriptor, BEV_OPT_CLOSE_ON_FREE);
        session->buffer.reset(buffer);
        server.m_sessions.push_back(std::move(session));
        bufferevent_setcb(buffer, &read, nullptr, nullptr, &server);
        bufferevent_enable(buffer, EV_READ | EV_WRITE);
    }

    static void read(bufferevent* buffer, void* argument)
    {
        auto& server = *static_cast<RawServer*>(argument);
        for (std::size_t index = 0; index < server.m_sessions.size(); ++index) {
            auto& session = *server.m_sessions[index];
            if (session.buffer.get() != buffer)
                continue;
            auto* const input = bufferevent_get_input(buffer);
            std::string bytes(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, bytes.data(), bytes.size());
            session.input += bytes;
            server.m_handler(session);
            return;
        }
    }

    static void written(bufferevent*, void* session) { static_cast<Session*>(session)->buffer.reset(); }
};

RawServer::RawServer(event_base* base, Handler handler, std::uint16_t port)
    : m_handler(std::move(handler))
    , m_listener(nullptr, evconnlistener_free)
{
    Auburnpost::Wire::ignoreBrokenPipe();
    const auto wanted = Auburnpost::Wire::toSockaddr({ "127.0.0.1", port });
    m_listener.reset(evconnlistener_new_bind(base, &Callbacks::accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)));
    m_address = Auburnpost::Wire::boundAddress(evconnlistener_get_fd(m_listener.get()));
}

void RawServer::send(Session& session, const Reply& reply)
{
    auto* const buffer = session.buffer.get();
    bufferevent_write(buffer, reply.bytes.data(), reply.bytes.size());
    if (!reply.thenClose)
        return;
    if (evbuffer_get_length(bufferevent_get_output(buffer)))
        bufferevent_setcb(buffer, nullptr, &Callbacks::written, nullptr, &session);
    else
        session.buffer.reset();
}

void RawServer::push(const Reply& reply)
{
    for (const auto& session : m_sessions) {
        if (session->buffer)
            send(*session, reply);
    }
}
