#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "message/Statement.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// The operations that a home can be asked to execute.
enum class HomeRequestKind : std::uint8_t {
    Read,
    Write,
    /// Ensures that the write with this key is never executed, unless it already has been.
    Cancel,
    /// Reads whether the write with this key has been executed.
    Lookup,
    Begin,
    ExecuteInTransaction,
    Commit,
    Rollback,
};

/// A request in the form in which a home executes it. The home executes it once and does not retry it.
struct HomeRequest {
    HomeRequestKind kind { HomeRequestKind::Read };
    OrganisationName organisation;
    DatabaseName database;
    Statement statement;
    Access access { Access::Read };
    /// Read: the log point that the session has seen, which the target's log has to cover.
    LogPoint required;
    /// Read: greatest age of the data; empty when any age is acceptable.
    std::optional<Duration> maxAge;
    /// Write, Cancel, Lookup, Commit: the key of the outcome record.
    OutcomeKey outcomeKey;
    /// Write: hash of the request, to detect that its key was already used for a different one.
    std::string requestHash;
    /// ExecuteInTransaction, Commit, Rollback: number of the transaction on its home.
    std::uint64_t transaction { 0 };
    /// ExecuteInTransaction, Commit, Rollback: incarnation of the home that holds the transaction.
    Incarnation homeIncarnation;
};

} // namespace Auburnpost
