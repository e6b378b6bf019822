#pragma once

#include "proxy/PendingStatement.h"
#include "session/SessionState.h"

#include <optional>

namespace Auburnpost::Proxy {

/// A caller's session.
struct CallerSession {
    SessionId id;
    DatabaseName database;
    Session::SessionState state;
    /// Whether another host forwarded the session to this one.
    bool isForwarded { false };
    /// Whether the session was reported open to the caller.
    bool isAccepted { false };
    /// Whether a message of the session was refused, which is logged once.
    bool hasRefusedMessage { false };
    Instant openedAt;

    /// The open transaction's route as of its begin.
    std::optional<Route> transactionRoute;
    Instant transactionBegunAt;
    /// The connection that the open transaction is bound to, from its first statement on.
    std::optional<ConnectionId> pinned;
    /// When the session's last statement was answered.
    Instant idleSince;

    /// The statement in progress.
    std::optional<PendingStatementId> pendingId;
    Session::StatementId statementId;
    Session::StatementKind statementKind { Session::StatementKind::Read };
    GroupName group;
    Instant statementArrivedAt;
    /// @return whether the session may be closed: it has no statement in progress and no open transaction.
    [[nodiscard]] bool isIdle() const { return !pendingId && state.transaction() == Session::TransactionState::Idle; }
};

} // namespace Auburnpost::Proxy
