#pragma once

#include "common/HttpServer.h"
#include "target/PgServer.h"
#include "target/ReplicationServer.h"

namespace Auburnpost::Standin {

/// Serves the control address of the target: faults, leaving, state, log, and replication between targets.
class ControlServer {
public:
    ControlServer(EventLoop&, Target&, PgServer&);

    Expected<void> listen(const SocketAddress& address) { return m_http.listen(address); }

private:
    void handle(const HttpExchange&);
    void setFaults(const HttpExchange&);
    void setLeaving(const HttpExchange&);
    void replyState(const HttpExchange&);
    void replyLog(const HttpExchange&);
    void replicate(const HttpExchange&);

    Target& m_target;
    PgServer& m_server;
    ReplicationServer m_replication;
    HttpServer m_http;
};

} // namespace Auburnpost::Standin
