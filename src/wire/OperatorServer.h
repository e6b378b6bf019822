#pragma once

#include "wire/HttpServer.h"
#include "wire/OperatorMessage.h"

namespace Auburnpost::Wire {

/// The operators' interface: GET /ready, /state, /metrics and GET or PUT /config[/{section}].
class OperatorServer {
public:
    OperatorServer(event_base*, SocketAddress, HttpServerLimits = {});

    /// Starts to listen.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen() { return m_server.listen(); }
    /// Accepts no more connections, and closes each that there is after its next reply.
    void drain() { m_server.drain(); }

    /// Sends the reply, or drops it when the operator has gone.
    void answer(const OperatorReply&);

    /// A well-formed request arrived. One that is not is answered without being handed out.
    sigc::signal<void(const OperatorRequest&)>& arrived() { return m_arrived; }

    /// @return the address listened on.
    [[nodiscard]] const SocketAddress& address() const { return m_server.address(); }
    /// @return how many requests are not yet answered to the last byte.
    [[nodiscard]] std::size_t pending() const { return m_server.pending(); }

private:
    void onArrived(const HttpRequest&);
    void onRefused(RequestId, const Error&);

    sigc::signal<void(const OperatorRequest&)> m_arrived;
    HttpServer m_server;
};

} // namespace Auburnpost::Wire
