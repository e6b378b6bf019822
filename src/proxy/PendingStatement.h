#pragma once

#include "limit/Ticket.h"
#include "proxy/Catalog.h"
#include "proxy/PrimaryConfirmations.h"
#include "proxy/TargetConnection.h"
#include "session/Statement.h"

#include <optional>
#include <set>
#include <string_view>

namespace Auburnpost::Proxy {

/// Why a statement could not be dispatched at the last attempt.
enum class WaitReason : std::uint8_t {
    None,
    NoPrimary,
    PrimaryUnresponsive,
    /// The primary is about to shut down.
    PrimaryLeaving,
    /// This host has fenced members of the group to replace the primary.
    PrimaryFenced,
    /// The primary may have been replaced (ReplacementGuard).
    PrimaryDoubted,
    /// There is no confirmation yet that the data would be fresh.
    NoConfirmation,
    NoConnection,
    /// No member can serve the read.
    NoMember,
};

/// @return the text for logs, such as "no_proof".
constexpr std::string_view toString(WaitReason reason)
{
    constexpr std::string_view texts[] { "none", "no_primary", "primary_silent", "primary_leaving", "primary_fenced",
        "primary_doubted", "no_proof", "no_connection", "no_member" };
    return texts[static_cast<std::size_t>(reason)];
}

/// What a host knew when it sent a statement to the primary.
struct PrimaryEvidence {
    /// Time from the arrival of the statement, or of its transaction, to the request of the newest confirmation;
    /// negative if the confirmation is older. Empty when there was none.
    std::optional<Duration> confirmedAfter;
    std::optional<ConfirmationSource> source;
};

/// A caller's statement that waits for dispatch or for a target's reply.
struct PendingStatement {
    PendingStatementId id;
    SessionId session;
    /// The organisation under whose name it runs; empty if the deployment has none.
    OrganisationName organisation;
    Session::StatementId statementId;
    Session::Statement statement;
    /// Execute: the prepared statement that it runs.
    std::optional<NamedShape> prepared;
    /// The session's values as of the arrival of the statement.
    Session::SessionValues values;
    Route route;
    /// When the statement arrived.
    Instant arrivedAt;
    /// When the read, or the transaction that it belongs to, arrived: its data must be fresh as of this moment.
    Instant freshAsOf;
    Instant deadline;
    /// The log point of the session's own last commit.
    std::optional<LogPoint> ownPosition;
    /// Whether the statement is the first one of a transaction.
    bool startsTransaction { false };
    /// Whether the statement is a later one of a transaction, bound to the transaction's connection.
    bool isInTransaction { false };
    bool isReadOnlyTransaction { false };
    Session::Access access { Session::Access::Read };

    /// Targets that refused the statement or failed to serve it.
    std::set<TargetName> avoidedTargets;
    /// Earliest time of the next attempt.
    Instant retryNotBefore {};
    std::size_t attempts { 0 };
    /// The connection that was last opened for it; at most one is being opened for each statement of an organisation.
    std::optional<ConnectionId> awaitedConnection;
    /// Connections on which an attempt is unanswered.
    std::set<ConnectionId> sentOn;
    /// The log point that the last attempt required.
    std::optional<LogPoint> requiredLogPoint;
    WaitReason waitReason { WaitReason::None };
    /// What was known of the primary when the statement was last sent to it, for logs.
    std::optional<PrimaryEvidence> primaryEvidence;
    /// Whether the primary has acknowledged it, and the answer waits for the decision of ReplacementGuard.
    bool isAcknowledged { false };
    /// With WaitReason::NoConfirmation: the moment as of which the primary has to be confirmed.
    Instant requiredMoment {};

    /// @return whether only the primary may serve the statement.
    [[nodiscard]] bool needsPrimary() const
    {
        const bool writes = access == Session::Access::Write || (startsTransaction && !isReadOnlyTransaction);
        return writes || route.consistency == Consistency::Current;
    }
    /// @return whether another attempt may be sent while one is unanswered.
    [[nodiscard]] bool isRepeatable() const
    {
        return access == Session::Access::Read && !startsTransaction && !isInTransaction;
    }
};

/// The lanes of the queue: statements of one lane wait for the same connections.
constexpr Limit::Lane writeLane = 0;
constexpr Limit::Lane currentReadLane = 1;
constexpr Limit::Lane memberReadLane = 2;

/// @return the lane of a statement, by which service times are estimated as well.
inline Limit::Lane laneOf(const PendingStatement& pending)
{
    if (!pending.needsPrimary())
        return memberReadLane;
    const bool writes
        = pending.access == Session::Access::Write || (pending.startsTransaction && !pending.isReadOnlyTransaction);
    return writes ? writeLane : currentReadLane;
}

} // namespace Auburnpost::Proxy
