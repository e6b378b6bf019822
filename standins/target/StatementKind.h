#pragma once

#include <cstdint>
#include <string>

namespace Auburnpost::Standin {

/// Kind of a statement. The target itself handles every kind except Sql, which SQLite executes.
enum class StatementKind : std::uint8_t {
    Empty,
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    SetReadOnly,
    Discard,
    Group,
    Sql,
};

/// @return the kind of the statement: a group call, one of the known transaction commands, or Sql.
StatementKind classify(const std::string& sql);

} // namespace Auburnpost::Standin
