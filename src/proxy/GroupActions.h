#pragma once

#include "proxy/Promotion.h"
#include "proxy/Work.h"

#include <vector>

namespace Auburnpost::Proxy {

/// How a statement ended.
struct WorkResult {
    WorkId work;
    SessionId session;
    Session::Answer answer;
    /// The connection on which the session's transaction is open.
    std::optional<ConnectionId> pinned;
    /// The target that answered; empty when none did.
    TargetName target;
    std::size_t attempts { 0 };
    /// The position that the read asked for.
    std::optional<LogPoint> after;
    /// What the statement waited for last.
    Obstacle obstacle { Obstacle::None };
};

/// What the service of a group asks of its surroundings.
class GroupActions {
public:
    virtual ~GroupActions() = default;
    /// @param relay the host through which to connect; empty for the direct way.
    virtual void openConnection(ConnectionId, const TargetRecord&, const std::optional<SocketAddress>& relay) = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void send(ConnectionId, const std::vector<TargetRequest>&) = 0;
    virtual void readClaim(const GroupName&) = 0;
    virtual void writeClaim(const GroupName&, const Claim&, RowVersion expected) = 0;
    virtual void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) = 0;
    virtual void finished(const WorkResult&) = 0;
    /// The connection of a session's transaction ended between two statements.
    virtual void transactionLost(SessionId) = 0;
    virtual void log(const LogRecord&) = 0;
    /// @return an id that no connection has had.
    virtual ConnectionId nextConnectionId() = 0;
    virtual RandomEngine& random() = 0;
    /// @return where other hosts relay.
    [[nodiscard]] virtual const std::vector<SocketAddress>& relays() const = 0;
};

} // namespace Auburnpost::Proxy
