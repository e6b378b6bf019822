#pragma once

#include <cstdint>
#include <string>

namespace Auburnpost::Standin {

/// What the target does itself with a statement, or leaves to SQLite.
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

/// @return the kind, told by the first words.
StatementKind classify(const std::string& sql);

} // namespace Auburnpost::Standin
