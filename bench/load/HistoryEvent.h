#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Load {

using Fact = StrongId<std::string, struct FactTag>;
using SessionNumber = StrongId<std::uint64_t, struct SessionNumberTag>;

enum class Outcome {
    Done,
    NotRun,
    Unknown,
};

/// @return "done", "not_run" or "unknown".
std::string_view toString(Outcome);

/// One request of a session with its retries: what was asked, when, and what came back.
struct HistoryEvent {
    SessionNumber session;
    std::string kind;
    bool isWrite { false };
    DatabaseName database;
    /// The row key that the request reads or adds to.
    std::int64_t item { 0 };
    /// The unique value that a write inserts.
    Fact fact;
    /// Empty for a request without a key.
    std::string key;
    Instant invoked;
    Instant completed;
    Outcome outcome { Outcome::Unknown };
    /// HTTP status and error code of the last attempt; status 0 without a whole answer.
    int status { 0 };
    std::string code;
    std::uint32_t attempts { 1 };
    HostName host;
    std::string servedBy;
    /// The age that a read stated, and the one that the answer states.
    std::optional<Duration> maxAge;
    std::optional<Duration> age;
    /// What a read returned.
    std::vector<Fact> facts;

    /// @return one line of JSON without a line end.
    [[nodiscard]] std::string toLine() const;
    /// Reads what toLine() gives.
    /// @return the event, or ErrorCode::BadMessage with the reason.
    static Expected<HistoryEvent> fromLine(std::string_view);
};

} // namespace Auburnpost::Load
