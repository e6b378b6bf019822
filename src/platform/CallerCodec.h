#pragma once

#include "base/Ids.h"
#include "proxy/SessionRequest.h"
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
    /// The second field: the caller's key, and for a forwarded session the organisation; empty if there is none.
    std::string credential;
    /// The third field, of forwarded sessions: the version of the configuration; zero if there is none.
    ConfigVersion version;
    /// The fourth field, of forwarded sessions: the host that forwards; empty if there is none.
    HostName forwardedBy {};
    /// The fifth field, of forwarded sessions: the digest of the route; empty if there is none.
    std::optional<Proxy::RouteDigest> routeDigest {};
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
/// @return the session that a caller requests, or that another host forwards.
Proxy::SessionRequest sessionRequestOf(const OpenSession&, bool isForwarded);
/// @return the line that forwards a session to another host. It names the organisation, never the caller's key.
std::string writeSessionRequest(const Proxy::SessionRequest&);
/// @return the line that states the route of a forwarded session, in front of a statement.
std::string writeStatedRoute(const Proxy::StatedRoute&);
/// @return the route that a line of a forwarded session states; empty for another line.
std::optional<Proxy::StatedRoute> readStatedRoute(std::string_view line);
/// @return the line that states a version to the host that forwards a session, in front of an answer.
std::string writeStatedVersion(ConfigVersion);
/// @return the version that a line from the host that serves a session states; empty for another line.
std::optional<ConfigVersion> readStatedVersion(std::string_view line);
/// @return the session's transaction state if the line ends an answer; empty otherwise.
std::optional<Session::TransactionState> readAnswerEnd(std::string_view line);
/// @return the code and text if the line is a failure; empty otherwise.
std::optional<std::string_view> readFailure(std::string_view line);
/// @return the id of the statement in a caller's line; "-" for another line.
std::string statementIdOf(std::string_view line);
/// @return the line that refuses a session.
std::string writeFailure(const Session::Failure&);

} // namespace Auburnpost::Platform
