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

/// One request of a session including its retries: the request, its times and its result.
struct HistoryEvent {
    SessionNumber session;
    std::string kind;
    bool isWrite { false };
    DatabaseName database;
    /// Key of the rows that the request reads, or of the row that it inserts.
    std::int64_t item { 0 };
    /// The unique value that a write inserts.
    Fact fact;
    /// Empty for a request without a key.
    std::string key;
    Instant invoked;
    Instant completed;
    Outcome outcome { Outcome::Unknown };
    /// HTTP status and error code of the last attempt; status 0 without a complete answer.
    int status { 0 };
    std::string code;
    std::uint32_t attempts { 1 };
    HostName host;
    std::string servedBy;
    /// Maximum age that a read stated, and the age stated by its answer.
    std::optional<Duration> maxAge;
    std::optional<Duration> age;
    /// Facts that a read returned.
    std::vector<Fact> facts;

    /// @return the event as one line of JSON without a line end.
    [[nodiscard]] std::string toLine() const;
    /// Parses a line made by toLine().
    /// @return the event, or ErrorCode::BadMessage with the reason.
    static Expected<HistoryEvent> fromLine(std::string_view);
};

} // namespace Auburnpost::Load
