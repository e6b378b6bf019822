#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost {

/// A value in PostgreSQL's text format; empty is SQL NULL.
using SqlValue = std::optional<std::string>;

/// One SQL statement with its parameters $1, $2, …
struct Statement {
    std::string sql;
    std::vector<SqlValue> parameters;

    bool operator==(const Statement&) const = default;
};

/// The kind of access that a caller declares for a statement.
enum class Access : std::uint8_t {
    Read,
    Write,
};

/// A column's name and the object id of its PostgreSQL type.
struct Column {
    std::string name;
    std::uint32_t type { 0 };

    bool operator==(const Column&) const = default;
};

/// The complete result of one statement.
struct ResultSet {
    std::vector<Column> columns;
    std::vector<std::vector<SqlValue>> rows;
    std::uint64_t rowsAffected { 0 };

    bool operator==(const ResultSet&) const = default;
};

} // namespace Auburnpost
