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

/// Work that has a result.
struct WorkDone {
    ResultSet result;
    /// A point that a majority holds and that the session has now seen; empty when there is none to note.
    std::optional<LogPoint> durable;
    /// "name role" of the target.
    std::string servedBy;
    std::optional<Duration> age;
    /// Begin: the number of the transaction on this home.
    std::uint64_t transaction { 0 };
    /// Begin: the incarnation of this home.
    Incarnation homeIncarnation;
    /// Cancel, Lookup: whether the write had run.
    bool found { false };
};

/// Work that has none.
struct WorkFailed {
    FailedOutcome outcome { FailedOutcome::NotRun };
    Error error;
    std::optional<Duration> retryAfter;
};

using WorkReply = std::variant<WorkDone, WorkFailed>;

} // namespace Auburnpost
