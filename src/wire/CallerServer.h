#pragma once

#include "message/CallerAnswer.h"
#include "message/CallerRequest.h"
#include "wire/HttpServer.h"

namespace Auburnpost::Wire {

using CallerServerLimits = HttpServerLimits;

/// The callers' interface of docs/CALLERS.md: typed requests in, one typed answer out for each.
class CallerServer {
public:
    CallerServer(event_base*, SocketAddress, CallerServerLimits);

    /// Starts to listen.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen() { return m_server.listen(); }
    /// Accepts no more connections, and closes each that there is after its next answer.
    void drain() { m_server.drain(); }

    /// Sends the answer, or drops it when the caller has gone.
    void answer(const CallerAnswer&);

    /// A well-formed request arrived. One that is not is answered without being handed out.
    sigc::signal<void(const CallerRequest&)>& arrived() { return m_arrived; }
    /// A caller disconnected before it was answered.
    sigc::signal<void(RequestId)>& gone() { return m_server.gone(); }

    /// @return the address listened on.
    [[nodiscard]] const SocketAddress& address() const { return m_server.address(); }
    /// @return how many requests are not yet answered to the last byte.
    [[nodiscard]] std::size_t pending() const { return m_server.pending(); }
    /// @return how many connections are open.
    [[nodiscard]] std::size_t connections() const { return m_server.connections(); }

private:
    void onArrived(const HttpRequest&);
    void onRefused(RequestId, const Error&);

    sigc::signal<void(const CallerRequest&)> m_arrived;
    HttpServer m_server;
};

} // namespace Auburnpost::Wire
