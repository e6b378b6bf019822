#pragma once

#include "proxy/PendingStatement.h"
#include "proxy/Promotion.h"

#include <vector>

namespace Auburnpost::Proxy {

/// Outcome of a statement.
struct StatementResult {
    PendingStatementId pendingId;
    SessionId session;
    Session::Answer answer;
    /// The connection that the session's open transaction is bound to; empty when there is none.
    std::optional<ConnectionId> pinned;
    /// The target that answered; empty when none did.
    TargetName target;
    std::size_t attempts { 0 };
    /// The log point that the read required.
    std::optional<LogPoint> requiredLogPoint;
    /// What was known of the primary when the statement was last sent to it; empty if it was not.
    std::optional<PrimaryEvidence> primaryEvidence;
    /// Why the statement last had to wait.
    WaitReason waitReason { WaitReason::None };
};

/// Operations that GroupService requires from its environment.
class GroupServiceDelegate {
public:
    virtual ~GroupServiceDelegate() = default;
    /// @param organisation the organisation whose statements the connection serves; empty for none.
    /// @param relay the host to connect through; empty for a direct connection.
    virtual void openConnection(
        ConnectionId, const TargetRecord&, const OrganisationName&, const std::optional<SocketAddress>& relay)
        = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void send(ConnectionId, const std::vector<TargetRequest>&) = 0;
    virtual void readLease(const GroupName&) = 0;
    virtual void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) = 0;
    /// Reads the members of the group from the store; GroupService::membersRead() follows.
    virtual void readMembers(const GroupName&) = 0;
    virtual void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) = 0;
    virtual void statementFinished(const StatementResult&) = 0;
    /// Reports that the connection of a session's transaction ended between two statements.
    virtual void transactionLost(SessionId) = 0;
    virtual void log(const LogRecord&) = 0;
    /// Adds a sample to a metrics series.
    virtual void measure(std::string_view series, double sample) = 0;
    /// @return an id that was never used for a connection.
    virtual ConnectionId nextConnectionId() = 0;
    virtual RandomEngine& random() = 0;
    /// @return the addresses at which other hosts relay connections.
    [[nodiscard]] virtual const std::vector<SocketAddress>& relays() const = 0;
};

} // namespace Auburnpost::Proxy
