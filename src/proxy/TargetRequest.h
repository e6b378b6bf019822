#pragma once

#include "proxy/TargetStanding.h"
#include "session/Answer.h"
#include "session/Statement.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost::Proxy {

/// Clears values and prepared statements of a connection.
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
    /// The log must hold this position.
    std::optional<LogPoint> after;
};
struct RollbackTransaction { };
/// Asks for the standing.
struct AskStanding { };
/// Keeps a replica from receiving until it is resumed.
struct FenceReplica {
    Term term;
};
struct ResumeReplica { };
/// Makes a primary of a lower term a replica.
struct DemotePrimary {
    Term term;
};
/// Runs a caller's statement.
struct RunStatement {
    Session::StatementId id;
    std::optional<LogPoint> after;
    Session::Statement statement;
    /// Execute: the name under which the connection prepared it.
    std::string preparedName;
};

using TargetRequest = std::variant<ResetConnection, SetValue, PrepareStatement, BeginTransaction, RollbackTransaction,
    AskStanding, FenceReplica, ResumeReplica, DemotePrimary, RunStatement>;

/// A target's whole reply to one request.
struct TargetReply {
    std::variant<Session::Success, Session::Failure> body;
    Session::TransactionState state { Session::TransactionState::Idle };
    std::optional<LogPoint> position;
    /// The answer to a status question or an order.
    std::optional<TargetStanding> standing;

    [[nodiscard]] const Session::Failure* failure() const { return std::get_if<Session::Failure>(&body); }
};

} // namespace Auburnpost::Proxy
