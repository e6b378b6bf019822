#pragma once

#include "base/Ids.h"
#include "session/Answer.h"
#include "session/Statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Auburnpost::Platform {

/// A caller opens its session.
struct OpenSession {
    DatabaseName database;
};
/// A caller sends a statement.
struct SendStatement {
    Session::StatementId id;
    Session::Statement statement;
};
struct EndSession { };
/// The line can't be read.
struct BadLine {
    Session::Failure failure;
};

using CallerLine = std::variant<OpenSession, SendStatement, EndSession, BadLine>;

/// @return what a caller's line says.
CallerLine readCallerLine(std::string_view line);

/// @return the lines of a whole answer.
std::string writeAnswer(const Session::Answer&);
/// @return the line that opens a session.
std::string writeSessionOpen();
/// @return the line with which a session on the database is asked for.
std::string writeSessionRequest(const DatabaseName&);
/// @return the session's state if the line ends an answer; empty otherwise.
std::optional<Session::TransactionState> readAnswerEnd(std::string_view line);
/// @return the line that refuses a session.
std::string writeFailure(const Session::Failure&);

} // namespace Auburnpost::Platform
