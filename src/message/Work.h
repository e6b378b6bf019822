#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "message/Statement.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// What a home is asked to do.
enum class WorkKind : std::uint8_t {
    Read,
    Write,
    /// Makes sure that the write with this key never runs, unless it has run already.
    Cancel,
    /// Finds out whether the write with this key has run.
    Lookup,
    Begin,
    ExecuteInTransaction,
    Commit,
    Rollback,
};

/// A request in the form in which a home executes it, once.
struct Work {
    WorkKind kind { WorkKind::Read };
    OrganisationName organisation;
    DatabaseName database;
    Statement statement;
    Access access { Access::Read };
    /// Read: the session's point.
    LogPoint required;
    /// Read: greatest age; empty when any will do.
    std::optional<Duration> maxAge;
    /// Write, Cancel, Lookup, Commit: the key of the outcome record.
    OutcomeKey outcomeKey;
    /// Write: tells another request under the same key from the same one.
    std::string requestHash;
    /// ExecuteInTransaction, Commit, Rollback: its number on this home.
    std::uint64_t transaction { 0 };
    /// The incarnation of the home that holds the transaction.
    Incarnation homeIncarnation;
};

} // namespace Auburnpost
