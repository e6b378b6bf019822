#pragma once

#include <string>
#include <tl/expected.hpp>

namespace Auburnpost::Standin {

/// An error that is sent to the client, with PostgreSQL's five-character SQLSTATE.
struct SqlError {
    std::string state;
    std::string message;
};

template <typename Value> using SqlExpected = tl::expected<Value, SqlError>;

/// @return an error that converts to any SqlExpected.
inline tl::unexpected<SqlError> makeSqlError(std::string state, std::string message)
{
    return tl::unexpected<SqlError>(SqlError { std::move(state), std::move(message) });
}

namespace SqlState {
    inline constexpr auto featureNotSupported = "0A000";
    inline constexpr auto badEncoding = "22021";
    inline constexpr auto badParameter = "22P02";
    inline constexpr auto constraint = "23000";
    inline constexpr auto notNull = "23502";
    inline constexpr auto foreignKey = "23503";
    inline constexpr auto unique = "23505";
    inline constexpr auto check = "23514";
    inline constexpr auto readOnly = "25006";
    inline constexpr auto transactionFailed = "25P02";
    inline constexpr auto unknownStatement = "26000";
    inline constexpr auto unknownDatabase = "3D000";
    inline constexpr auto unknownPortal = "34000";
    inline constexpr auto notPermitted = "42501";
    inline constexpr auto syntax = "42601";
    inline constexpr auto unknownColumn = "42703";
    inline constexpr auto unknownTable = "42P01";
    inline constexpr auto tooManyConnections = "53300";
    inline constexpr auto lockTimeout = "55P03";
    inline constexpr auto shutdown = "57P01";
    inline constexpr auto protocol = "08P01";
    inline constexpr auto internal = "XX000";
} // namespace SqlState

} // namespace Auburnpost::Standin
