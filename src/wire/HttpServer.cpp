#include "wire/HttpServer.h"

#include "base/Invariant.h"
#include "wire/HttpRequestReader.h"
#include "wire/LoopTime.h"
#include "wire/SocketOptions.h"

#include <event2/bufferevent.h>

#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace Auburnpost::Wire {

namespace {

    const RequestId noRequest {};
    constexpr unsigned listenerFlags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    constexpr int acceptBacklog = 1024;
    constexpr ev_uint16_t allowedMethods
        = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;
    /// Bytes by which a request may exceed a limit and still be read, so that the reply can state the reason for its
    /// refusal. Beyond this evhttp stops reading and replies 413 itself.
    constexpr std::size_t excessBytes = 1024UL * 1024 + 64UL * 1024;

    SocketAddress peerOf(evhttp_request* request)
    {
        char* ip = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &port);
        return { ip ? ip : "", port };
    }

} // namespace

/// One request and its reply.
struct HttpServer::Exchange {
    HttpServer* server { nullptr };
    RequestId id;
    evhttp_request* request { nullptr };
    SocketAddress peer;
    bool hasReplied { false };
    /// Whether the connection is closed after the reply.
    bool closesConnection { false };
    EventPointer closeEvent;
};

struct HttpServer::Callbacks {
    static void request(evhttp_request* request, void* server) { static_cast<HttpServer*>(server)->onRequest(request); }

    static bufferevent* accepted(event_base* base, void* server)
    {
        auto* const buffer = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        static_cast<HttpServer*>(server)->onAccepted(buffer);
        return buffer;
    }

    static void trackEvent(evutil_socket_t, short, void* server) { static_cast<HttpServer*>(server)->trackAccepted(); }

    static void closed(evhttp_connection* connection, void* server)
    {
        static_cast<HttpServer*>(server)->onClosed(connection);
    }

    static void clientClosed(evutil_socket_t, short, void* exchange)
    {
        evhttp_connection_free(evhttp_request_get_connection(static_cast<Exchange*>(exchange)->request));
    }

    static void sent(evhttp_request*, void* argument)
    {
        auto* const exchange = static_cast<Exchange*>(argument);
        exchange->server->finishExchange(exchange->id);
    }
};

HttpServer::HttpServer(event_base* base, SocketAddress address, HttpServerLimits limits)
    : m_base(base)
    , m_address(std::move(address))
    , m_limits(limits)
    , m_trackEvent(event_new(base, -1, 0, &Callbacks::trackEvent, this))
    , m_http(evhttp_new(base))
{
    ignoreBrokenPipe();
    evhttp_set_max_headers_size(m_http.get(), static_cast<ev_ssize_t>(limits.headerBytes + excessBytes));
    evhttp_set_max_body_size(m_http.get(), static_cast<ev_ssize_t>(limits.bodyBytes + excessBytes));
    evhttp_set_allowed_methods(m_http.get(), allowedMethods);
    evhttp_set_default_content_type(m_http.get(), "application/json");
    evhttp_set_flags(m_http.get(), EVHTTP_SERVER_LINGERING_CLOSE);
    const auto idleTimeout = toTimeval(limits.idleTimeout);
    evhttp_set_timeout_tv(m_http.get(), &idleTimeout);
    evhttp_set_gencb(m_http.get(), &Callbacks::request, this);
    evhttp_set_bevcb(m_http.get(), &Callbacks::accepted, this);
}

HttpServer::~HttpServer()
{
    m_clientDisconnected.clear();
    m_listener = nullptr;
    for (auto* const buffer : m_accepted)
        bufferevent_decref(buffer);
    m_http.reset();
}

Expected<void> HttpServer::listen()
{
    const auto requestedAddress = toSockaddr(m_address);
    m_listener = evconnlistener_new_bind(m_base, nullptr, nullptr, listenerFlags, acceptBacklog,
        reinterpret_cast<const sockaddr*>(&requestedAddress), sizeof(requestedAddress));
    if (!m_listener)
        return fail(ErrorCode::BadSettings, "listen", m_address.toString(), std::strerror(errno));
    m_address = boundAddress(evconnlistener_get_fd(m_listener));
    evhttp_bind_listener(m_http.get(), m_listener);
    return {};
}

void HttpServer::drain()
{
    m_draining = true;
    if (m_listener)
        evconnlistener_disable(m_listener);
}

void HttpServer::onAccepted(bufferevent* buffer)
{
    bufferevent_incref(buffer);
    m_accepted.push_back(buffer);
    event_active(m_trackEvent.get(), 0, 0);
    if (connections() >= m_limits.connections)
        evconnlistener_disable(m_listener);
}

void HttpServer::trackAccepted()
{
    for (auto* const buffer : std::exchange(m_accepted, {})) {
        // evhttp passes its connection object as the argument of the buffer's callbacks. Once the connection is freed,
        // no callback is set.
        bufferevent_data_cb readCallback = nullptr;
        void* connection = nullptr;
        bufferevent_getcb(buffer, &readCallback, nullptr, nullptr, &connection);
        if (readCallback && connection)
            track(static_cast<evhttp_connection*>(connection));
        bufferevent_decref(buffer);
    }
}

void HttpServer::track(evhttp_connection* connection)
{
    if (m_connections.try_emplace(connection, noRequest).second)
        evhttp_connection_set_closecb(connection, &Callbacks::closed, this);
}

void HttpServer::onRequest(evhttp_request* request)
{
    auto& exchange = beginExchange(request);
    const auto id = exchange.id;
    auto message = read(exchange);
    // The bytes after a malformed request may not be the start of another one, so the connection is closed.
    exchange.closesConnection = !message;
    if (message)
        m_requestReceived.emit(*message);
    else
        m_requestRefused.emit(id, message.error());
}

HttpServer::Exchange& HttpServer::beginExchange(evhttp_request* request)
{
    auto* const connection = evhttp_request_get_connection(request);
    track(connection);
    auto exchange = std::make_unique<Exchange>();
    exchange->server = this;
    exchange->id = RequestId(++m_lastId);
    exchange->request = request;
    exchange->peer = peerOf(request);
    auto& current = m_connections.at(connection);
    AUBURNPOST_INVARIANT(current == noRequest, "a connection carries one request at a time");
    current = exchange->id;
    watchForClose(*exchange);
    evhttp_request_set_on_complete_cb(request, &Callbacks::sent, exchange.get());
    return *m_exchanges.emplace(exchange->id, std::move(exchange)).first->second;
}

void HttpServer::watchForClose(Exchange& exchange)
{
    auto* const buffer = evhttp_connection_get_bufferevent(evhttp_request_get_connection(exchange.request));
    exchange.closeEvent.reset(
        event_new(m_base, bufferevent_getfd(buffer), EV_CLOSED, &Callbacks::clientClosed, &exchange));
    event_add(exchange.closeEvent.get(), nullptr);
}

Expected<HttpRequest> HttpServer::read(const Exchange& exchange) const
{
    auto message = readHttpRequest(exchange.request, m_limits);
    if (!message) {
        message.error().peer = exchange.peer.toString();
        return message;
    }
    message->id = exchange.id;
    message->peer = exchange.peer;
    return message;
}

void HttpServer::reply(RequestId id, const HttpReply& reply)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    auto& exchange = *found->second;
    AUBURNPOST_INVARIANT(!exchange.hasReplied, "a request is answered once");
    exchange.hasReplied = true;
    exchange.closeEvent.reset();
    auto* const headers = evhttp_request_get_output_headers(exchange.request);
    for (const auto& header : reply.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    if (m_draining || exchange.closesConnection)
        evhttp_add_header(headers, "Connection", "close");
    const BufferPointer body(evbuffer_new());
    evbuffer_add(body.get(), reply.body.data(), reply.body.size());
    evhttp_send_reply(exchange.request, reply.status, nullptr, body.get());
}

void HttpServer::finishExchange(RequestId id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    const auto connection = m_connections.find(evhttp_request_get_connection(found->second->request));
    if (connection != m_connections.end())
        connection->second = noRequest;
    m_exchanges.erase(found);
}

void HttpServer::onClosed(evhttp_connection* connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    const auto id = found->second;
    m_connections.erase(found);
    if (m_listener && !m_draining && connections() < m_limits.connections)
        evconnlistener_enable(m_listener);
    const auto exchange = m_exchanges.find(id);
    if (exchange == m_exchanges.end())
        return;
    const bool wasUnanswered = !exchange->second->hasReplied;
    // evhttp does not free a request that it detached from its connection before the reply.
    if (!evhttp_request_get_connection(exchange->second->request))
        evhttp_request_free(exchange->second->request);
    m_exchanges.erase(exchange);
    if (wasUnanswered)
        m_clientDisconnected.emit(id);
}

} // namespace Auburnpost::Wire
