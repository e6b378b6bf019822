#pragma once

#include "base/Ids.h"
#include "session/Answer.h"
#include "session/Statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Auburnpost::Platform {

/// A caller opens a session.
struct OpenSession {
    DatabaseName database;
};
/// A caller sends a statement.
struct SendStatement {
    Session::StatementId id;
    Session::Statement statement;
};
struct EndSession { };
/// The line is malformed; the failure is to be sent to the caller.
struct MalformedLine {
    Session::Failure failure;
};

using CallerLine = std::variant<OpenSession, SendStatement, EndSession, MalformedLine>;

/// @return the decoded line of a caller.
CallerLine readCallerLine(std::string_view line);

/// @return the lines of a complete answer.
std::string writeAnswer(const Session::Answer&);
/// @return the line that accepts a session.
std::string writeSessionAccepted();
/// @return the line that requests a session on the database.
std::string writeSessionRequest(const DatabaseName&);
/// @return the session's transaction state if the line ends an answer; empty otherwise.
std::optional<Session::TransactionState> readAnswerEnd(std::string_view line);
/// @return the line that refuses a session.
std::string writeFailure(const Session::Failure&);

} // namespace Auburnpost::Platform
