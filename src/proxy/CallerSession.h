#pragma once

#include "config/KeyDigest.h"
#include "proxy/PendingStatement.h"
#include "proxy/RouteDigest.h"
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
    /// Digest of the caller's key; empty if it presented none, and for a forwarded session.
    std::optional<Config::KeyDigest> key;
    /// Empty if the deployment has no organisations.
    OrganisationName organisation;
    /// Forwarded sessions: the route that the other host stated last.
    StatedRoute statedRoute;
    /// Forwarded sessions: the newest version that this host stated to the other one.
    ConfigVersion statedVersion;
    /// Forwarded sessions: the other host, for logs.
    HostName forwardedBy;
    /// Whether the caller's key was removed while a statement was in progress; the session ends with the answer.
    bool isRevoked { false };
    /// Whether the session was reported open to the caller.
    bool isAccepted { false };
    /// Whether a message of the session was refused, which is logged once.
    bool hasRefusedMessage { false };
    Instant openedAt;

    /// The configuration by which the session was accepted, and then by which its last operation was routed.
    ConfigVersion routedBy;
    /// The open transaction's route as of its begin.
    std::optional<Route> transactionRoute;
    Instant transactionBegunAt;
    /// The connection that the open transaction is bound to, from its first statement on.
    std::optional<ConnectionId> pinned;
    /// When the session's last statement was answered.
    Instant idleSince;

    /// Whether a statement waits for a permit of the organisation's rate limit.
    bool awaitsPermit { false };
    /// A statement that waits until this host's configuration is as new as that of the host that forwards the session.
    std::optional<Session::Statement> heldStatement;
    /// The statement in progress.
    std::optional<PendingStatementId> pendingId;
    Session::StatementId statementId;
    Session::StatementKind statementKind { Session::StatementKind::Read };
    GroupName group;
    Instant statementArrivedAt;
    /// @return whether the session may be closed: it has no statement in progress and no open transaction.
    [[nodiscard]] bool isIdle() const
    {
        return !hasOpenStatement() && state.transaction() == Session::TransactionState::Idle;
    }
    /// @return whether a statement has not been answered.
    [[nodiscard]] bool hasOpenStatement() const { return pendingId || awaitsPermit || heldStatement; }
};

} // namespace Auburnpost::Proxy
