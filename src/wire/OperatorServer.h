#pragma once

#include "wire/HttpServer.h"
#include "wire/OperatorMessage.h"

namespace Auburnpost::Wire {

/// HTTP server for operators: GET /ready, /state, /metrics and GET or PUT /config[/{section}].
class OperatorServer {
public:
    OperatorServer(event_base*, SocketAddress, HttpServerLimits = {});

    /// Starts listening.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen() { return m_server.listen(); }
    /// Stops accepting connections and closes each open one after its next reply.
    void drain() { m_server.drain(); }

    /// Sends the reply; drops it if the operator has disconnected.
    void answer(const OperatorReply&);

    /// Emitted for each well-formed request. A malformed request is refused without being emitted.
    sigc::signal<void(const OperatorRequest&)>& requestReceived() { return m_requestReceived; }

    /// @return the listening address.
    [[nodiscard]] const SocketAddress& address() const { return m_server.address(); }
    /// @return the number of requests whose answer is not sent completely yet.
    [[nodiscard]] std::size_t pending() const { return m_server.pending(); }

private:
    void onRequestReceived(const HttpRequest&);
    void onRequestRefused(RequestId, const Error&);

    sigc::signal<void(const OperatorRequest&)> m_requestReceived;
    HttpServer m_server;
};

} // namespace Auburnpost::Wire
