#pragma once

#include "base/Expected.h"
#include "base/Time.h"
#include "limit/ClientBudget.h"
#include "wire/HttpMessage.h"
#include "wire/LibeventPointers.h"

#include <sigc++/signal.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

struct bufferevent;

namespace Auburnpost::Wire {

/// Limits for the connections and requests of an HttpServer.
struct HttpServerLimits {
    std::size_t headerBytes { 64UL * 1024 };
    std::size_t bodyBytes { 16UL * 1024 * 1024 };
    /// Maximum open connections; further ones wait in the kernel's accept queue until one closes.
    std::size_t connections { 1024 };
    /// Memory for the requests and replies of all connections together.
    std::size_t budgetBytes { 64UL * 1024 * 1024 };
    /// Maximum time without any traffic on a connection before it is closed, also while a request is received or a
    /// reply is sent. The time between a complete request and its reply does not count.
    Duration idleTimeout { std::chrono::seconds(30) };
};

/// HTTP/1.1 server on one address. A Limit::ClientBudget decides how much of each connection is read, and, once tick()
/// is called, which connections are closed because they hold memory or a place without making progress. The owner must
/// call reply() once for each request that requestReceived() or requestRefused() reports, in any order.
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

    /// Sets the present time for the budget's decisions, and closes connections whose time is over.
    void tick(Instant now);

    /// Sends the reply; drops it if the client has disconnected.
    void reply(RequestId, const HttpReply&);

    /// Emitted for each complete request.
    sigc::signal<void(const HttpRequest&)>& requestReceived() { return m_requestReceived; }
    /// Emitted, in place of requestReceived(), for a request that exceeds a limit, states its length more than once,
    /// has a path that can't be decoded or has a query.
    sigc::signal<void(RequestId, const Error&)>& requestRefused() { return m_requestRefused; }
    /// Emitted when the client disconnects before it was answered.
    sigc::signal<void(RequestId)>& clientDisconnected() { return m_clientDisconnected; }

    /// Emitted for a connection that is closed by a decision of the budget.
    sigc::signal<void(Limit::ClientCloseReason)>& closedByLimit() { return m_closedByLimit; }

    /// @return the listening address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const { return m_address; }
    /// @return the number of requests whose reply is not sent completely yet.
    [[nodiscard]] std::size_t pending() const { return m_exchanges.size(); }
    /// @return the number of open connections.
    [[nodiscard]] std::size_t connections() const { return m_connections.size() + m_accepted.size(); }
    [[nodiscard]] const Limit::ClientBudget& budget() const { return m_budget; }

private:
    struct Connection;
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
    void onReceived(Connection&, std::size_t bytes);
    /// Reads at most so many further bytes of a connection.
    static void allow(Connection&, std::size_t bytes);
    /// Reads the start of the next request, as far as the budget permits.
    void beginRequest(Connection&);
    void applyPermits();
    /// Reports the unread replies of a connection to the budget.
    void updateReply(const Connection&);
    void updateReplies();
    void closeByLimit(const Limit::ClientClosing&);
    /// Closes a connection without progress if a caller waits in the accept queue for its place.
    void replaceForWaitingCaller();
    Expected<HttpRequest> read(const Exchange&) const;

    event_base* m_base;
    SocketAddress m_address;
    HttpServerLimits m_limits;
    Instant m_now {};
    Limit::ClientBudget m_budget;
    RateLimitPointer m_rateLimit;
    std::uint64_t m_lastId { 0 };
    bool m_draining { false };
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<evhttp_connection*, std::unique_ptr<Connection>> m_connections;
    std::unordered_map<Limit::ClientId, Connection*> m_connectionsById;
    /// The connections whose replies were not delivered when they were last checked.
    std::unordered_set<Limit::ClientId> m_undelivered;
    std::uint64_t m_lastConnectionId { 0 };
    /// Accepted connections for which evhttp has not created its connection object yet.
    std::vector<bufferevent*> m_accepted;
    EventPointer m_trackEvent;
    evconnlistener* m_listener { nullptr };
    sigc::signal<void(const HttpRequest&)> m_requestReceived;
    sigc::signal<void(RequestId, const Error&)> m_requestRefused;
    sigc::signal<void(RequestId)> m_clientDisconnected;
    sigc::signal<void(Limit::ClientCloseReason)> m_closedByLimit;
    HttpPointer m_http;
};

} // namespace Auburnpost::Wire
