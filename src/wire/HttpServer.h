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

/// What an HttpServer takes from those that connect to it.
struct HttpServerLimits {
    std::size_t headerBytes { 64UL * 1024 };
    std::size_t bodyBytes { 16UL * 1024 * 1024 };
    /// Further connections wait in the kernel's queue until one closes.
    std::size_t connections { 1024 };
    /// A connection on which nothing moves for so long is closed, also in the middle of a request.
    Duration idle { std::chrono::seconds(30) };
};

/// HTTP/1.1 on one address: hands out whole requests and sends one reply to each.
/// The owner answers every request that arrived() or refused() names, by reply(), in any order.
class HttpServer {
public:
    HttpServer(event_base*, SocketAddress, HttpServerLimits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts to listen.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    /// Accepts no more connections, and closes each that there is after its next reply.
    void drain();

    /// Sends the reply, or drops it when the other side has gone.
    void reply(RequestId, const HttpReply&);

    /// A whole request arrived.
    sigc::signal<void(const HttpRequest&)>& arrived() { return m_arrived; }
    /// A request arrived that can't be handed out: it is above a limit or its path can't be decoded.
    sigc::signal<void(RequestId, const Error&)>& refused() { return m_refused; }
    /// The other side closed before it was answered.
    sigc::signal<void(RequestId)>& gone() { return m_gone; }

    /// @return the address listened on, with the port that the kernel chose when 0 was asked for.
    [[nodiscard]] const SocketAddress& address() const { return m_address; }
    /// @return how many requests are not yet answered to the last byte.
    [[nodiscard]] std::size_t pending() const { return m_exchanges.size(); }
    /// @return how many connections are open.
    [[nodiscard]] std::size_t connections() const { return m_connections.size() + m_accepted.size(); }

private:
    struct Exchange;
    struct Callbacks;

    Exchange& beginExchange(evhttp_request*);
    void onRequest(evhttp_request*);
    void onAccepted(bufferevent*);
    void adoptAccepted();
    void adopt(evhttp_connection*);
    void onClosed(evhttp_connection*);
    void finish(RequestId);
    void watchForClose(Exchange&);
    Expected<HttpRequest> read(const Exchange&) const;

    event_base* m_base;
    SocketAddress m_address;
    HttpServerLimits m_limits;
    std::uint64_t m_lastId { 0 };
    bool m_draining { false };
    std::unordered_map<RequestId, std::unique_ptr<Exchange>> m_exchanges;
    /// Open connections, with the request that each is busy with.
    std::unordered_map<evhttp_connection*, RequestId> m_connections;
    /// Connections that evhttp has not yet told its own object of.
    std::vector<bufferevent*> m_accepted;
    EventPointer m_adoption;
    evconnlistener* m_listener { nullptr };
    sigc::signal<void(const HttpRequest&)> m_arrived;
    sigc::signal<void(RequestId, const Error&)> m_refused;
    sigc::signal<void(RequestId)> m_gone;
    HttpPointer m_http;
};

} // namespace Auburnpost::Wire
