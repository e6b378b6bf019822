#include "wire/HttpServer.h"

#include "base/Invariant.h"
#include "wire/HttpRequestReader.h"
#include "wire/LoopTime.h"
#include "wire/SocketOptions.h"

#include <event2/bufferevent.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
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

    /// How often a request exists while it is served: its body, the decoded statement, and the copies of the statement
    /// in the operation, in the message to its home, and in the output to the target.
    constexpr std::size_t copiesOfRequest = 4;

    Limit::ClientLimits clientLimits(const HttpServerLimits& limits)
    {
        Limit::ClientLimits result;
        result.budgetBytes = limits.budgetBytes;
        result.connections = limits.connections;
        result.messageBytes = limits.headerBytes + limits.bodyBytes + excessBytes;
        result.copies = copiesOfRequest;
        return result;
    }

    /// @return a rate limit under which a connection reads what it is given by bufferevent_decrement_read_limit(), and
    /// next to nothing by itself.
    RateLimitPointer makeRateLimit()
    {
        constexpr timeval refillInterval { 1000, 0 };
        return RateLimitPointer(
            ev_token_bucket_cfg_new(1, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &refillInterval));
    }

    SocketAddress peerOf(evhttp_request* request)
    {
        char* ip = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &port);
        return { ip ? ip : "", port };
    }

} // namespace

/// One connection and what was read from it.
struct HttpServer::Connection {
    HttpServer* server { nullptr };
    evhttp_connection* connection { nullptr };
    bufferevent* buffer { nullptr };
    Limit::ClientId id;
    /// The request in progress; RequestId {} if there is none.
    RequestId request;
    /// Bytes read since the start of the request that is being received.
    std::size_t receivedBytes { 0 };
    /// Bytes that may be read now.
    std::size_t allowedBytes { 0 };
    evbuffer_cb_entry* inputCallback { nullptr };

    [[nodiscard]] std::size_t inputBytes() const { return evbuffer_get_length(bufferevent_get_input(buffer)); }
    [[nodiscard]] std::size_t outputBytes() const { return evbuffer_get_length(bufferevent_get_output(buffer)); }
};

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

    static void received(evbuffer*, const evbuffer_cb_info* change, void* connection)
    {
        auto& changed = *static_cast<Connection*>(connection);
        if (change->n_added > 0)
            changed.server->onReceived(changed, change->n_added);
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
    , m_budget(clientLimits(limits))
    , m_rateLimit(makeRateLimit())
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
    bufferevent_set_rate_limit(buffer, m_rateLimit.get());
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
    auto& tracked = m_connections[connection];
    if (tracked)
        return;
    tracked = std::make_unique<Connection>();
    tracked->server = this;
    tracked->connection = connection;
    tracked->buffer = evhttp_connection_get_bufferevent(connection);
    tracked->id = Limit::ClientId(++m_lastConnectionId);
    tracked->receivedBytes = tracked->inputBytes();
    tracked->inputCallback
        = evbuffer_add_cb(bufferevent_get_input(tracked->buffer), &Callbacks::received, tracked.get());
    m_connectionsById[tracked->id] = tracked.get();
    m_budget.opened(m_now, tracked->id);
    evhttp_connection_set_closecb(connection, &Callbacks::closed, this);
    beginRequest(*tracked);
}

void HttpServer::onReceived(Connection& connection, std::size_t bytes)
{
    connection.receivedBytes += bytes;
    connection.allowedBytes -= std::min(connection.allowedBytes, bytes);
    // What follows a request that is being served is read after its reply.
    if (connection.request == noRequest)
        beginRequest(connection);
}

void HttpServer::beginRequest(Connection& connection)
{
    // evhttp has refused a request above the limits, and discards the rest of it before it replies.
    const auto messageBytes = clientLimits(m_limits).messageBytes;
    if (connection.receivedBytes >= messageBytes) {
        m_budget.received(m_now, connection.id, messageBytes);
        allow(connection, m_budget.freeBytes());
        return;
    }
    const auto readable = connection.receivedBytes > 0
        ? m_budget.received(m_now, connection.id, connection.receivedBytes)
        : m_budget.freeBytes();
    allow(connection, readable > connection.receivedBytes ? readable - connection.receivedBytes : 0);
    applyPermits();
}

void HttpServer::allow(Connection& connection, std::size_t bytes)
{
    const auto difference = static_cast<ev_ssize_t>(connection.allowedBytes) - static_cast<ev_ssize_t>(bytes);
    connection.allowedBytes = bytes;
    bufferevent_decrement_read_limit(connection.buffer, difference);
}

void HttpServer::applyPermits()
{
    for (const auto permitted : m_budget.takePermitted()) {
        const auto found = m_connectionsById.find(permitted);
        if (found == m_connectionsById.end())
            continue;
        auto& connection = *found->second;
        const auto readable = m_budget.readableBytes(permitted);
        if (readable > connection.receivedBytes)
            allow(connection, readable - connection.receivedBytes);
    }
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
    auto& tracked = *m_connections.at(connection);
    auto exchange = std::make_unique<Exchange>();
    exchange->server = this;
    exchange->id = RequestId(++m_lastId);
    exchange->request = request;
    exchange->peer = peerOf(request);
    AUBURNPOST_INVARIANT(tracked.request == noRequest, "a connection carries one request at a time");
    tracked.request = exchange->id;
    const auto followingBytes = std::min(tracked.inputBytes(), tracked.receivedBytes);
    m_budget.requestStarted(m_now, tracked.id, tracked.receivedBytes - followingBytes, followingBytes);
    tracked.receivedBytes = followingBytes;
    allow(tracked, m_budget.freeBytes() - std::min(m_budget.freeBytes(), followingBytes));
    applyPermits();
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
    if (const auto connection = m_connections.find(evhttp_request_get_connection(exchange.request));
        connection != m_connections.end()) {
        const auto client = connection->second->id;
        m_budget.requestAnswered(m_now, client, Limit::ClientStage::Idle);
        // Without the header: bytes that are counted here and then not sent would look like bytes that were read.
        m_budget.answerAdded(m_now, client, reply.body.size());
        m_undelivered.insert(client);
        applyPermits();
    }
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
    m_exchanges.erase(found);
    if (connection == m_connections.end())
        return;
    auto& tracked = *connection->second;
    tracked.request = noRequest;
    tracked.receivedBytes = tracked.inputBytes();
    updateReply(tracked);
    beginRequest(tracked);
}

void HttpServer::onClosed(evhttp_connection* connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    const auto id = found->second->request;
    auto* const input = bufferevent_get_input(found->second->buffer);
    evbuffer_remove_cb_entry(input, found->second->inputCallback);
    const auto client = found->second->id;
    m_connectionsById.erase(client);
    m_undelivered.erase(client);
    m_connections.erase(found);
    m_budget.closed(m_now, client);
    applyPermits();
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

void HttpServer::tick(Instant now)
{
    m_now = now;
    updateReplies();
    while (const auto overdue = m_budget.overdue(now))
        closeByLimit(*overdue);
    while (const auto worst = m_budget.worstHolder(now))
        closeByLimit(*worst);
    replaceForWaitingCaller();
}

void HttpServer::updateReply(const Connection& connection)
{
    const auto heldBytes = connection.outputBytes();
    const auto undeliveredBytes = heldBytes + unacknowledgedBytes(bufferevent_getfd(connection.buffer));
    m_budget.answerRead(m_now, connection.id, heldBytes, undeliveredBytes);
    if (undeliveredBytes > 0)
        m_undelivered.insert(connection.id);
    else
        m_undelivered.erase(connection.id);
}

void HttpServer::updateReplies()
{
    const std::vector<Limit::ClientId> undelivered(m_undelivered.begin(), m_undelivered.end());
    for (const auto id : undelivered)
        updateReply(*m_connectionsById.at(id));
    applyPermits();
}

void HttpServer::closeByLimit(const Limit::ClientClosing& closing)
{
    m_closedByLimit.emit(closing.reason);
    evhttp_connection_free(m_connectionsById.at(closing.client)->connection);
}

void HttpServer::replaceForWaitingCaller()
{
    if (!m_listener || m_draining || connections() < m_limits.connections)
        return;
    const auto replaced = m_budget.replaceable(m_now);
    if (!replaced)
        return;
    pollfd waiting { evconnlistener_get_fd(m_listener), POLLIN, 0 };
    if (poll(&waiting, 1, 0) > 0)
        closeByLimit(*replaced);
}

} // namespace Auburnpost::Wire
