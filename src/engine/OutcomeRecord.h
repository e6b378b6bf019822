#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "message/Statement.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// The record that the outcome table of a database holds under one key.
struct OutcomeRecord {
    std::string requestHash;
    /// Whether the write was cancelled before it was executed; it never will be.
    bool cancelled { false };
    ResultSet result;

    /// Parses the answer to OutcomeSql::select().
    /// @return the record, empty when there is none, or ErrorCode::BadMessage for a row of another form.
    static Expected<std::optional<OutcomeRecord>> parse(const ResultSet&);
};

/// The statements on the outcome table, which docs/TARGETS.md describes.
namespace OutcomeSql {

    /// Inserts a record for the key; fails with a unique violation if there is one already.
    Statement insert(const OutcomeKey&, const std::string& requestHash);
    /// Completes the record with the result.
    Statement complete(const OutcomeKey&, const ResultSet&);
    /// Inserts a record that prevents the write with this key from ever being executed; fails with a unique violation
    /// if there is a record already.
    Statement cancel(const OutcomeKey&);
    Statement select(const OutcomeKey&);

} // namespace OutcomeSql

} // namespace Auburnpost
