#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "message/Statement.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost {

/// What is known about a request that failed.
enum class FailedOutcome : std::uint8_t {
    /// The request certainly had no effect and will have none.
    NotRun,
    /// The request may have been executed.
    Unknown,
};

/// The answer to a request that was refused or failed.
struct Refusal {
    FailedOutcome outcome { FailedOutcome::NotRun };
    Error error;
    /// Delay after which a retry makes sense; empty when no retry does.
    std::optional<Duration> retryAfter;
};

/// A transaction was begun; the handle identifies it in later requests.
struct TransactionBegun {
    std::string handle;
};

/// The answer to a CallerRequest; each request gets exactly one.
struct CallerAnswer {
    RequestId id;
    std::variant<ResultSet, TransactionBegun, Refusal> body;
    /// The new session token; empty when the request carried none and created none.
    std::string session;
    /// "name role" of the target that executed it; empty when none did.
    std::string servedBy;
    /// Upper bound of the age of a read's data.
    std::optional<Duration> age;
};

} // namespace Auburnpost
