#pragma once

#include "base/SocketAddress.h"
#include "proxy/FeedPage.h"
#include "proxy/GroupServiceDelegate.h"
#include "proxy/HostEntry.h"
#include "proxy/SessionRequest.h"
#include "proxy/StoreDelegate.h"

namespace Auburnpost::Proxy {

/// Operations that Proxy requires from its environment.
class ProxyDelegate : public StoreDelegate {
public:
    /// Reports to the caller that its session is open.
    virtual void acceptSession(SessionId) = 0;
    /// Refuses and closes the caller's session.
    virtual void refuseSession(SessionId, const Session::Failure&) = 0;
    virtual void answer(SessionId, const Session::Answer&) = 0;
    /// Forwards the session to another host, which answers its statements from then on.
    virtual void forwardSession(SessionId, const SessionRequest&, const HostEntry&) = 0;
    /// States to the host that serves a forwarded session by which route it is forwarded from now on.
    virtual void stateRoute(SessionId, const StatedRoute&) = 0;
    /// States to the host that forwards a session that this host's configuration is newer, before the next answer.
    virtual void stateVersion(SessionId, ConfigVersion) = 0;
    /// Ends a session that is forwarded to another host once no request of it is in progress.
    virtual void endForwardedSession(SessionId) = 0;
    /// Closes an idle session.
    virtual void closeSession(SessionId) = 0;
    virtual void openConnection(
        ConnectionId, const TargetRecord&, const OrganisationName&, const std::optional<SocketAddress>& relay)
        = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void send(ConnectionId, const std::vector<TargetRequest>&) = 0;
    virtual void readLease(const GroupName&) = 0;
    virtual void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) = 0;
    /// Reads a page of the table of targets on behalf of a group, beside the calls of the table's follower;
    /// Proxy::membersRead() follows.
    virtual void readMembers(const GroupName&, const std::string& fromKey) = 0;
    virtual void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) = 0;
    /// Answers another host's request for a table.
    /// @param page empty if this host's copy can't be passed on.
    virtual void answerFeed(RequestId, const std::optional<FeedPage>& page) = 0;
    /// Requests a peer's copies of the store's tables.
    virtual void queryPeer(const SocketAddress&) = 0;
    /// States the version of this host's configuration to another host, and asks for its; Proxy::versionAnswered()
    /// follows, at the timeout at the latest.
    virtual void queryVersion(const SocketAddress&, ConfigVersion own, Duration timeout) = 0;
    /// Sends a datagram to another host's Proxy::datagramReceived(). It may be lost.
    virtual void sendDatagram(const SocketAddress&, std::string_view) = 0;
    virtual void log(const LogRecord&) = 0;
    /// Adds a sample to a metrics series.
    virtual void measure(std::string_view series, double sample) = 0;
};

} // namespace Auburnpost::Proxy
