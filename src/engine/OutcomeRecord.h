#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "message/Statement.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// What the outcome table of a database holds under one key.
struct OutcomeRecord {
    std::string requestHash;
    /// The write was cancelled before it ran; it never will run.
    bool cancelled { false };
    ResultSet result;

    /// Reads the answer of OutcomeSql::select.
    /// @return the record, empty when there is none, or ErrorCode::BadMessage for a row of another form.
    static Expected<std::optional<OutcomeRecord>> parse(const ResultSet&);
};

/// The statements on the outcome table, which docs/TARGETS.md describes.
namespace OutcomeSql {

    /// Claims the key; fails with a violated unique constraint when a record is there.
    Statement insert(const OutcomeKey&, const std::string& requestHash);
    /// Completes the record with the result.
    Statement complete(const OutcomeKey&, const ResultSet&);
    /// Claims the key for a write that shall never run.
    Statement cancel(const OutcomeKey&);
    Statement select(const OutcomeKey&);

} // namespace OutcomeSql

} // namespace Auburnpost
