#pragma once

#include "proxy/Catalog.h"
#include "proxy/TargetConnection.h"
#include "session/Statement.h"

#include <optional>
#include <set>
#include <string_view>

namespace Auburnpost::Proxy {

/// Why a statement could not be sent when it was last tried.
enum class Obstacle : std::uint8_t {
    None,
    NoPrimary,
    PrimarySilent,
    /// It is about to stop.
    PrimaryLeaving,
    /// This host has fenced the group's members to replace it.
    PrimaryFenced,
    /// No proof yet that the data would be fresh.
    NoProof,
    NoConnection,
    /// No member may serve the read.
    NoMember,
};

/// @return the text for logs, such as "no_proof".
constexpr std::string_view toString(Obstacle obstacle)
{
    constexpr std::string_view texts[] { "none", "no_primary", "primary_silent", "primary_leaving", "primary_fenced",
        "no_proof", "no_connection", "no_member" };
    return texts[static_cast<std::size_t>(obstacle)];
}

/// One statement of a caller on its way to a target.
struct Work {
    WorkId id;
    SessionId session;
    Session::StatementId statementId;
    Session::Statement statement;
    /// The shape behind an Execute.
    std::optional<Session::PreparedShape> prepared;
    /// The session's values, as they were when the statement arrived.
    Session::SessionValues values;
    Route route;
    /// When the statement arrived.
    Instant arrivedAt;
    /// When the read, or its transaction, arrived: its data must be fresh as of then.
    Instant freshAsOf;
    Instant deadline;
    /// The newest position that the session itself wrote.
    std::optional<LogPoint> ownPosition;
    /// Whether it is the first of a transaction.
    bool startsTransaction { false };
    /// Whether it is a later one, on the transaction's connection.
    bool isInTransaction { false };
    bool isReadOnlyTransaction { false };
    Session::Access access { Session::Access::Read };

    /// Targets that can't serve it, or failed to.
    std::set<TargetName> avoided;
    /// Not tried again before this.
    Instant notBefore {};
    std::size_t attempts { 0 };
    /// Connections on which it is unanswered.
    std::set<ConnectionId> sentOn;
    /// The position asked for in the last attempt.
    std::optional<LogPoint> after;
    Obstacle obstacle { Obstacle::None };

    /// @return whether only the primary may serve it.
    [[nodiscard]] bool needsPrimary() const
    {
        const bool writes = access == Session::Access::Write || (startsTransaction && !isReadOnlyTransaction);
        return writes || route.consistency == Consistency::Current;
    }
    /// @return whether it may be sent a second time while an attempt is unanswered.
    [[nodiscard]] bool isRepeatable() const
    {
        return access == Session::Access::Read && !startsTransaction && !isInTransaction;
    }
};

} // namespace Auburnpost::Proxy
