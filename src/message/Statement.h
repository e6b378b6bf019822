#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost {

/// A value in its text form, as PostgreSQL's protocol carries it; empty is SQL NULL.
using SqlValue = std::optional<std::string>;

/// One SQL statement with its parameters $1, $2, …
struct Statement {
    std::string sql;
    std::vector<SqlValue> parameters;

    bool operator==(const Statement&) const = default;
};

/// What a caller says that a statement does.
enum class Access : std::uint8_t {
    Read,
    Write,
};

/// A column's name and the type number that PostgreSQL gives it.
struct Column {
    std::string name;
    std::uint32_t type { 0 };

    bool operator==(const Column&) const = default;
};

/// The whole answer of one statement.
struct ResultSet {
    std::vector<Column> columns;
    std::vector<std::vector<SqlValue>> rows;
    std::uint64_t rowsAffected { 0 };

    bool operator==(const ResultSet&) const = default;
};

} // namespace Auburnpost
