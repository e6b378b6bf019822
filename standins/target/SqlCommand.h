#pragma once

#include "message/Statement.h"
#include "target/SqlError.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Auburnpost::Standin {

/// A bound parameter; monostate is NULL.
using SqlParameter = std::variant<std::monostate, std::int64_t, double, std::string>;

/// One SQL statement with its bound parameters.
struct SqlCommand {
    std::string sql;
    std::vector<SqlParameter> parameters;

    bool operator==(const SqlCommand&) const = default;
};

/// The result of one statement.
struct QueryResult {
    ResultSet set;
    /// PostgreSQL's command tag, such as "INSERT 0 1".
    std::string tag;
};

/// Converts a text parameter to its declared type.
/// @param oid the OID of the PostgreSQL type, or 0 when no type is declared.
/// @return the parameter, or an error with SQLSTATE 22P02 when the text is not a value of the type.
SqlExpected<SqlParameter> bindText(const SqlValue&, std::uint32_t oid);

/// @return the statements of @p text, which are separated by semicolons outside quotes and comments.
std::vector<std::string> splitStatements(const std::string& text);

} // namespace Auburnpost::Standin
