#pragma once

#include "base/SocketAddress.h"
#include "proxy/GroupActions.h"
#include "proxy/HostEntry.h"
#include "proxy/StoreFollower.h"

namespace Auburnpost::Proxy {

/// What the proxy asks of the program around it.
class ProxyActions : public StoreActions {
public:
    /// The caller's session is open.
    virtual void acceptSession(SessionId) = 0;
    /// The caller's session is refused and closed.
    virtual void refuseSession(SessionId, const Session::Failure&) = 0;
    virtual void answer(SessionId, const Session::Answer&) = 0;
    /// Passes the session on to another host, which answers it from here on.
    virtual void forwardSession(SessionId, const DatabaseName&, const HostEntry&) = 0;
    /// Ends an idle session.
    virtual void closeSession(SessionId) = 0;
    virtual void openConnection(ConnectionId, const TargetRecord&, const std::optional<SocketAddress>& relay) = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void send(ConnectionId, const std::vector<TargetRequest>&) = 0;
    virtual void readClaim(const GroupName&) = 0;
    virtual void writeClaim(const GroupName&, const Claim&, RowVersion expected) = 0;
    virtual void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) = 0;
    /// Asks a peer for the tables that it holds.
    virtual void askPeer(const SocketAddress&) = 0;
    virtual void log(const LogRecord&) = 0;
    /// Adds a sample to a series of the metrics.
    virtual void measure(std::string_view series, double sample) = 0;
};

} // namespace Auburnpost::Proxy
