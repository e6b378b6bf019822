#pragma once

#include "base/LogPoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Auburnpost::Session {

enum class FailureCode : std::uint8_t {
    /// No capacity, or no target that could serve in time.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// The log lacks the position that was asked for.
    Lagging,
    /// The target is not, or no longer, the primary.
    ReadOnly,
    /// The target is not the one that was asked for.
    Misrouted,
    TooManyConnections,
    /// It ran and failed.
    Failed,
    UnknownPreparedName,
    Timeout,
    UnknownDatabase,
    TooLarge,
    Malformed,
    /// It may or may not have taken effect.
    InDoubt,
};

/// @return the text of the code for logs, such as "busy".
std::string_view toString(FailureCode);

/// @return whether the code promises the caller that nothing of its operation is kept.
bool promisesNotRun(FailureCode);

struct Failure {
    FailureCode code { FailureCode::Failed };
    std::string text;
};

struct Success {
    /// The target's signature over the answer; empty when the proxy answered by itself.
    std::string signature;
    std::vector<std::string> rows;
};

enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    /// Only an end of the transaction is accepted.
    Failed,
};

/// The whole answer to one statement.
struct Answer {
    std::variant<Success, Failure> body;
    TransactionState state { TransactionState::Idle };
    /// End of the target's log; empty when no target was asked.
    std::optional<LogPoint> position;
};

} // namespace Auburnpost::Session
