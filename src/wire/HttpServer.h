#pragma once

#include "base/Expected.h"
#include "base/Time.h"
#include "wire/HttpMessage.h"
#include "wire/LibeventPointers.h"

#include <sigc++/signal.h>

#include <memory>
#include <unordered_map>
#include <vector>

struct bufferevent;

namespace Auburnpost::Wire {

/// Limits for the connections and requests of an HttpServer.
struct HttpServerLimits {
    std::size_t headerBytes { 64UL * 1024 };
    std::size_t bodyBytes { 16UL * 1024 * 1024 };
    /// Maximum open connections; further ones wait in the kernel's accept queue until one closes.
    std::size_t connections { 1024 };
    /// Maximum time without any traffic on a connection before it is closed, also while a request is received or a
    /// reply is sent. The time between a complete request and its reply does not count.
    Duration idleTimeout { std::chrono::seconds(30) };
};

/// HTTP/1.1 server on one address. The owner must call reply() once for each request that requestReceived() or
/// requestRefused() reports, in any order.
class HttpServer {
public:
    HttpServer(event_base*, SocketAddress, HttpServerLimits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts listening.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    /// Stops accepting connections and closes each open one after its next reply.
    void drain();

    /// Sends the reply; drops it if the client has disconnected.
    void reply(RequestId, const HttpReply&);

    /// Emitted for each complete request.
    sigc::signal<void(const HttpRequest&)>& requestReceived() { return m_requestReceived; }
    /// Emitted, in place of requestReceived(), for a request that exceeds a limit, states its length more than once,
    /// has a path that can't be decoded or has a query.
    sigc::signal<void(RequestId, const Error&)>& requestRefused() { return m_requestRefused; }
    /// Emitted when the client disconnects before it was answered.
    sigc::signal<void(RequestId)>& clientDisconnected() { return m_clientDisconnected; }

    /// @return the listening address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const { return m_address; }
    /// @return the number of requests whose reply is not sent completely yet.
    [[nodiscard]] std::size_t pending() const { return m_exchanges.size(); }
    /// @return the number of open connections.
    [[nodiscard]] std::size_t connections() const { return m_connections.size() + m_accepted.size(); }

private:
    struct Exchange;
    struct Callbacks;

    Exchange& beginExchange(evhttp_request*);
    void onRequest(evhttp_request*);
    void onAccepted(bufferevent*);
    void trackAccepted();
    void track(evhttp_connection*);
    void onClosed(evhttp_connection*);
    void finishExchange(RequestId);
    void watchForClose(Exchange&);
    Expected<HttpRequest> read(const Exchange&) const;

    event_base* m_base;
    SocketAddress m_address;
    HttpServerLimits m_limits;
    std::uint64_t m_lastId { 0 };
    bool m_draining { false };
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    /// Open connections with the request in progress on each; RequestId {} if there is none.
    std::unordered_map<evhttp_connection*, RequestId> m_connections;
    /// Accepted connections for which evhttp has not created its connection object yet.
    std::vector<bufferevent*> m_accepted;
    EventPointer m_trackEvent;
    evconnlistener* m_listener { nullptr };
    sigc::signal<void(const HttpRequest&)> m_requestReceived;
    sigc::signal<void(RequestId, const Error&)> m_requestRefused;
    sigc::signal<void(RequestId)> m_clientDisconnected;
    HttpPointer m_http;
};

} // namespace Auburnpost::Wire
