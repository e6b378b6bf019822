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

/// Statements sent in one flight on one connection and run in order up to the first that fails.
struct TargetCommand {
    ConnectionId connection;
    CommandId command;
    std::vector<Statement> statements;
};

/// A target's own refusal of a statement.
struct TargetFault {
    /// PostgreSQL's five-character code.
    std::string sqlState;
    std::string message;
};

/// Where a target stood when it answered.
struct TargetStanding {
    /// Highest term the target was fenced to.
    Term fencedTerm;
    /// Last entry of its log.
    LogPoint end;
    TargetRole role { TargetRole::Replica };
};

/// The answer to a TargetCommand. It comes once for each, and only after all of it was read.
struct TargetAnswer {
    ConnectionId connection;
    CommandId command;
    /// One for each statement that succeeded, in order.
    std::vector<ResultSet> results;
    /// The fault of the first statement that failed; the ones behind it were not run.
    std::optional<TargetFault> fault;
    TargetStanding standing;
};

/// A connection that ended, or could not be opened.
struct TargetConnectionLost {
    ConnectionId connection;
    /// Step "connect" when it never opened, "connection" when it was lost later.
    Error error;
};

} // namespace Auburnpost
