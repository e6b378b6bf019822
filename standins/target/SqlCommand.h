#pragma once

#include "message/Statement.h"
#include "target/SqlFault.h"

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

/// The answer of one statement.
struct QueryResult {
    ResultSet set;
    /// PostgreSQL's command tag, such as "INSERT 0 1".
    std::string tag;
};

/// Binds a text parameter as its declared type says.
/// @param oid the PostgreSQL type number, 0 when it is not declared.
/// @return the parameter, or 22P02 for text that is no value of the type.
SqlExpected<SqlParameter> bindText(const SqlValue&, std::uint32_t oid);

/// @return the statements of @p text, which are separated by semicolons outside quotes and comments.
std::vector<std::string> splitStatements(const std::string& text);

} // namespace Auburnpost::Standin
