#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "message/Statement.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost {

/// What is known of a request that was not answered with a result.
enum class FailedOutcome : std::uint8_t {
    /// Proved: it had no effect and will have none.
    NotRun,
    /// It may have run.
    Unknown,
};

/// A request that has no result to answer.
struct Refusal {
    FailedOutcome outcome { FailedOutcome::NotRun };
    Error error;
    /// When it makes sense to try again; empty when it does not.
    std::optional<Duration> retryAfter;
};

/// A transaction was begun, under this handle.
struct TransactionBegun {
    std::string handle;
};

/// The one answer to a CallerRequest.
struct CallerAnswer {
    RequestId id;
    std::variant<ResultSet, TransactionBegun, Refusal> body;
    /// The new session token; empty when the request carried none and made none.
    std::string session;
    /// "name role" of the target that executed it; empty when none did.
    std::string servedBy;
    /// Upper bound of the age of a read's data.
    std::optional<Duration> age;
};

} // namespace Auburnpost
