#pragma once

#include "message/CallerAnswer.h"
#include "message/CallerRequest.h"
#include "wire/HttpServer.h"

namespace Auburnpost::Wire {

using CallerServerLimits = HttpServerLimits;

/// HTTP server for callers, as specified in docs/CALLERS.md. Each request needs exactly one answer().
class CallerServer {
public:
    CallerServer(event_base*, SocketAddress, CallerServerLimits);

    /// Starts listening.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen() { return m_server.listen(); }
    /// Stops accepting connections and closes each open one after its next answer.
    void drain() { m_server.drain(); }

    /// Sets the present time, and closes connections whose time is over.
    void tick(Instant now) { m_server.tick(now); }
    [[nodiscard]] const Limit::ClientBudget& budget() const { return m_server.budget(); }
    /// Emitted for a connection that is closed by a decision of the budget.
    sigc::signal<void(Limit::ClientCloseReason)>& closedByLimit() { return m_server.closedByLimit(); }

    /// Sends the answer; drops it if the caller has disconnected.
    void answer(const CallerAnswer&);

    /// Emitted for each well-formed request. A malformed request is refused without being emitted.
    sigc::signal<void(const CallerRequest&)>& requestReceived() { return m_requestReceived; }
    /// Emitted when a caller disconnects before it was answered.
    sigc::signal<void(RequestId)>& callerDisconnected() { return m_server.clientDisconnected(); }

    /// @return the listening address.
    [[nodiscard]] const SocketAddress& address() const { return m_server.address(); }
    /// @return the number of requests whose answer is not sent completely yet.
    [[nodiscard]] std::size_t pending() const { return m_server.pending(); }
    /// @return the number of open connections.
    [[nodiscard]] std::size_t connections() const { return m_server.connections(); }

private:
    void onRequestReceived(const HttpRequest&);
    void onRequestRefused(RequestId, const Error&);

    sigc::signal<void(const CallerRequest&)> m_requestReceived;
    HttpServer m_server;
};

} // namespace Auburnpost::Wire
