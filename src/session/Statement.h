#pragma once

#include "base/StrongId.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Auburnpost::Session {

/// The id that a caller gave to a statement. Targets have to receive the same id.
using StatementId = StrongId<std::string, struct StatementIdTag>;

enum class Access : std::uint8_t {
    Read,
    Write,
};

enum class StatementKind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Forget,
};

/// @return whether a statement of the kind, outside a transaction, is routed by its database.
constexpr bool needsRoute(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        return true;
    default:
        return false;
    }
}

/// Definition of a prepared statement. Names with the same definition are interchangeable on a target.
struct PreparedShape {
    Access access { Access::Read };
    std::string shape;

    auto operator<=>(const PreparedShape&) const = default;
};

/// A decoded statement of a caller.
struct Statement {
    StatementKind kind { StatementKind::Read };
    /// SetValue: name of the session value. Prepare, Execute, Forget: name of the prepared statement.
    std::string name;
    /// SetValue: the new value. Execute: everything after the name, as received.
    std::string argument;
    /// Prepare only.
    PreparedShape prepared;
    /// The whole text as received.
    std::string text;
};

} // namespace Auburnpost::Session
