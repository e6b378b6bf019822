#pragma once

#include "base/Error.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "message/CallerAnswer.h"
#include "message/Statement.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost {

/// The result of a HomeRequest that succeeded.
struct HomeResult {
    ResultSet result;
    /// A log point that a majority holds and that the session has now seen; empty when there is none to record.
    std::optional<LogPoint> durable;
    /// "name role" of the target.
    std::string servedBy;
    /// Read: upper bound of the age of the data; empty when no bound is known.
    std::optional<Duration> age;
    /// Begin: number of the transaction on this home.
    std::uint64_t transaction { 0 };
    /// Begin: the incarnation of this home.
    Incarnation homeIncarnation;
    /// Cancel, Lookup: whether the write had already been executed.
    bool wasExecuted { false };
};

/// The failure of a HomeRequest.
struct HomeFailure {
    FailedOutcome outcome { FailedOutcome::NotRun };
    Error error;
    /// Minimum delay before a retry; empty when the home requires none.
    std::optional<Duration> retryAfter;
};

using HomeReply = std::variant<HomeResult, HomeFailure>;

} // namespace Auburnpost
