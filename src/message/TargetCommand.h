#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/LogPoint.h"
#include "message/Statement.h"
#include "message/TargetRole.h"

#include <optional>
#include <string>
#include <vector>

namespace Auburnpost {

/// Statements pipelined on one connection. The target executes them in order, up to the first that fails.
struct TargetCommand {
    ConnectionId connection;
    CommandId command;
    std::vector<Statement> statements;
};

/// The SQL error with which a target rejected a statement.
struct TargetFault {
    /// Five-character SQLSTATE code.
    std::string sqlState;
    std::string message;
};

/// The state of a target at the time of an answer.
struct TargetStatus {
    /// Highest term to which the target has been fenced.
    Term fencedTerm;
    /// Point of the last entry in its log.
    LogPoint end;
    TargetRole role { TargetRole::Replica };
};

/// The answer to a TargetCommand. Each command gets one, only after all of it has been read.
struct TargetAnswer {
    ConnectionId connection;
    CommandId command;
    /// One for each statement that succeeded, in order.
    std::vector<ResultSet> results;
    /// Error of the first statement that failed; the statements after it were not executed.
    std::optional<TargetFault> fault;
    TargetStatus targetStatus;
};

/// A connection was lost or could not be opened.
struct TargetConnectionLost {
    ConnectionId connection;
    /// Its step is "connect" if the connection was never open, "connection" if it was lost later.
    Error error;
};

} // namespace Auburnpost
