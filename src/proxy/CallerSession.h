#pragma once

#include "proxy/Work.h"
#include "session/SessionState.h"

#include <optional>

namespace Auburnpost::Proxy {

/// A caller's connection.
struct CallerSession {
    SessionId id;
    DatabaseName database;
    Session::SessionState state;
    /// It came from another host, which has chosen this one to serve it.
    bool isForwarded { false };
    /// Whether the caller was told that the session is open.
    bool isAccepted { false };
    Instant openedAt;

    /// The open transaction's route, as it was at its begin.
    std::optional<Route> transactionRoute;
    Instant transactionBegunAt;
    /// The connection on which the transaction runs, from its first statement on.
    std::optional<ConnectionId> pinned;
    /// When the last statement of the session ended.
    Instant quietSince;

    /// The statement that is being served.
    std::optional<WorkId> work;
    Session::StatementId statementId;
    Session::StatementKind statementKind { Session::StatementKind::Read };
    GroupName group;
    Instant statementAt;
    /// @return whether it may be closed: no statement and no transaction is open.
    [[nodiscard]] bool isIdle() const { return !work && state.transaction() == Session::TransactionState::Idle; }
};

} // namespace Auburnpost::Proxy
