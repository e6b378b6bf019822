#pragma once

#include "base/StrongId.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Auburnpost::Session {

/// The id under which a caller sent a statement; targets must see the same one.
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

/// What a prepared statement does. Two names with the same shape are interchangeable on a target.
struct PreparedShape {
    Access access { Access::Read };
    std::string shape;

    auto operator<=>(const PreparedShape&) const = default;
};

/// One statement of a caller, decoded.
struct Statement {
    StatementKind kind { StatementKind::Read };
    /// SetValue: name of the session value. Prepare, Execute, Forget: name of the prepared statement.
    std::string name;
    /// SetValue: the new value. Execute: everything after the name, as it was sent.
    std::string argument;
    /// Prepare only.
    PreparedShape prepared;
    /// The whole text as it was sent.
    std::string text;
};

} // namespace Auburnpost::Session
