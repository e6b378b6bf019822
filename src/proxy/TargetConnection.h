#pragma once

#include "base/SocketAddress.h"
#include "proxy/Ids.h"
#include "proxy/TargetRequest.h"
#include "session/SessionState.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace Auburnpost::Proxy {

/// Names one statement's way through the proxy, for as long as the host runs.
using WorkId = StrongId<std::uint64_t, struct WorkIdTag>;

enum class ConnectionStage : std::uint8_t {
    /// Being opened, up to the target's first answer.
    Opening,
    Idle,
    /// Requests are unanswered, and it belongs to no transaction.
    Busy,
    /// It belongs to a session's transaction.
    Pinned,
};

/// What a reply on a connection will be the answer to.
enum class ReplyPurpose : std::uint8_t {
    /// Values and prepared statements of the session.
    Setup,
    Begin,
    Statement,
    Rollback,
    /// A status question or an order, answered by the standing.
    Standing,
};

struct ExpectedReply {
    ReplyPurpose purpose { ReplyPurpose::Setup };
    /// Begin and Statement.
    WorkId work;
    Instant askedAt;
};

/// A connection to a target, with what its session state is.
struct TargetConnection {
    ConnectionId id;
    TargetName target;
    ConnectionStage stage { ConnectionStage::Opening };
    /// The host through which it goes; empty for the direct way.
    std::optional<SocketAddress> relay;
    /// Since when it is in the stage.
    Instant since;
    Session::SessionValues values;
    std::set<std::string> prepared;
    std::deque<ExpectedReply> expected;
    /// The transaction's session.
    std::optional<SessionId> session;
    /// Whether the transaction has written something.
    bool hasWritten { false };
};

/// @return the name under which the connections prepare a shape: the same for all sessions.
std::string preparedNameOf(const Session::PreparedShape&);

/// @return the requests that give the connection the session's values and, for an Execute, its prepared statement.
/// The connection counts as changed from here on.
std::vector<TargetRequest> setUp(
    TargetConnection&, const Session::SessionValues&, const Session::PreparedShape* prepared);

} // namespace Auburnpost::Proxy
