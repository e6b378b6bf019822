#pragma once

#include "proxy/TargetStatus.h"
#include "session/Answer.h"
#include "session/Statement.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost::Proxy {

/// Clears the values and prepared statements of a connection.
struct ResetConnection { };
struct SetValue {
    std::string name;
    std::string value;
};
struct PrepareStatement {
    std::string name;
    Session::PreparedShape prepared;
};
struct BeginTransaction {
    bool isReadOnly { false };
    /// The log point that the target must have applied.
    std::optional<LogPoint> requiredLogPoint;
};
struct RollbackTransaction { };
/// Requests the target's status.
struct QueryStatus { };
/// Stops a replica from receiving the log until it is resumed.
struct FenceReplica {
    Term term;
};
struct ResumeReplica { };
/// Turns a primary of a lower term into a replica.
struct DemotePrimary {
    Term term;
};
/// Runs a caller's statement.
struct RunStatement {
    Session::StatementId id;
    std::optional<LogPoint> requiredLogPoint;
    Session::Statement statement;
    /// Execute: the name under which the statement was prepared on the connection.
    std::string preparedName;
};

using TargetRequest = std::variant<ResetConnection, SetValue, PrepareStatement, BeginTransaction, RollbackTransaction,
    QueryStatus, FenceReplica, ResumeReplica, DemotePrimary, RunStatement>;

/// A target's complete reply to one request.
struct TargetReply {
    std::variant<Session::Success, Session::Failure> body;
    Session::TransactionState state { Session::TransactionState::Idle };
    std::optional<LogPoint> position;
    /// Present in the reply to a status query or a command of a promotion.
    std::optional<TargetStatus> status;

    [[nodiscard]] const Session::Failure* failure() const { return std::get_if<Session::Failure>(&body); }
};

} // namespace Auburnpost::Proxy
