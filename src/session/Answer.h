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
    /// The target's log does not reach the requested position.
    Lagging,
    /// The target is not the primary, or no longer is.
    ReadOnly,
    /// The answering target is not the requested one.
    Misrouted,
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    UnknownPreparedName,
    Timeout,
    UnknownDatabase,
    TooLarge,
    Malformed,
    /// The statement may or may not have taken effect.
    InDoubt,
    /// No organisation has the caller's key.
    UnknownKey,
};

/// @return the name of the code for logs, such as "busy".
std::string_view toString(FailureCode);

/// @return whether the code guarantees to the caller that the operation has had no effect.
bool guaranteesNotRun(FailureCode);

struct Failure {
    FailureCode code { FailureCode::Failed };
    std::string text;
};

struct Success {
    /// The target's signature over the answer; empty when the proxy itself answered.
    std::string signature;
    std::vector<std::string> rows;
};

enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    /// Only the end of the transaction is accepted.
    Failed,
};

/// The complete answer to one statement.
struct Answer {
    std::variant<Success, Failure> body;
    TransactionState state { TransactionState::Idle };
    /// End of the target's log; empty when the proxy itself answered.
    std::optional<LogPoint> position;
};

} // namespace Auburnpost::Session
