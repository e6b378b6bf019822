#pragma once

#include "base/SocketAddress.h"
#include "proxy/Ids.h"
#include "proxy/PreparedName.h"
#include "proxy/TargetRequest.h"
#include "session/SessionState.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Auburnpost::Proxy {

/// Identifies a pending statement; unique for the lifetime of the process.
using PendingStatementId = StrongId<std::uint64_t, struct PendingStatementIdTag>;

enum class ConnectionStage : std::uint8_t {
    /// Being opened, until the target's first answer.
    Opening,
    Idle,
    /// Has unanswered requests and belongs to no transaction.
    Busy,
    /// Belongs to a session's transaction.
    Pinned,
    /// Ends a transaction whose session no longer needs an answer, and takes no other request meanwhile.
    Releasing,
};

/// The kind of request that an expected reply answers.
enum class ReplyPurpose : std::uint8_t {
    /// Sets values or prepares a statement of the session.
    Setup,
    Begin,
    Statement,
    Rollback,
    /// A status query, or a command of a promotion, answered with the target's status.
    Status,
};

/// @return the text for logs, such as "statement".
constexpr std::string_view toString(ReplyPurpose purpose)
{
    constexpr std::string_view texts[] { "setup", "begin", "statement", "rollback", "status" };
    return texts[static_cast<std::size_t>(purpose)];
}

/// The reply that is due for a request sent on a connection.
struct ExpectedReply {
    ReplyPurpose purpose { ReplyPurpose::Setup };
    /// Begin and Statement: the pending statement.
    PendingStatementId pendingId;
    Instant sentAt;
};

/// A connection to a target and the session state that it has on the target. It is lent only when its last answer said
/// that no transaction is open and no answer is due.
struct TargetConnection {
    ConnectionId id;
    TargetName target;
    /// The organisation whose statements the connection may carry, which the target learns when it is opened. Empty if
    /// the deployment has none, and for connections that carry only the proxy's own requests.
    OrganisationName organisation;
    ConnectionStage stage { ConnectionStage::Opening };
    /// The host that relays the connection; empty for a direct one.
    std::optional<SocketAddress> relay;
    /// When the connection entered its stage, or its transaction was last answered.
    Instant stageEnteredAt;
    Session::SessionValues values;
    std::set<PreparedName> prepared;
    std::deque<ExpectedReply> expectedReplies;
    /// The kind of request that the target answered last.
    ReplyPurpose lastAnswered { ReplyPurpose::Setup };
    /// The state of the transaction by the target's last answer.
    Session::TransactionState transaction { Session::TransactionState::Idle };
    /// The session whose transaction the connection is bound to.
    std::optional<SessionId> session;
    /// Whether the transaction has written anything.
    bool hasWritten { false };

    /// @return whether a statement of any session, or a request of the proxy itself, may be sent on it.
    [[nodiscard]] bool mayBeLent() const;
    /// @return whether a transaction is open on the target that belongs to no session and is not being ended either.
    [[nodiscard]] bool isInForeignTransaction() const;
    /// @return whether a rollback was sent that is not answered yet.
    [[nodiscard]] bool awaitsRollback() const;
};

/// Updates the connection's state as if the requests had already succeeded.
/// @return the requests that give the connection the session's values and, for an Execute, its prepared statement.
std::vector<TargetRequest> makeSetupRequests(
    TargetConnection&, const Session::SessionValues&, const NamedShape* prepared);

} // namespace Auburnpost::Proxy
