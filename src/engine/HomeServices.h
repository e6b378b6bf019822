#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "engine/OperationId.h"
#include "group/GroupView.h"
#include "limit/Ticket.h"
#include "message/HomeReply.h"
#include "message/Statement.h"

#include <optional>
#include <vector>

namespace Auburnpost {

namespace Route {
    struct Freshness;
}

/// What happens to a connection that an operation releases.
enum class ConnectionDisposition : std::uint8_t {
    /// The connection is in its initial state and can be used by the next operation.
    Reuse,
    /// Its transaction has to be rolled back before it can be reused.
    RollBack,
    /// Its state is unknown, so it is closed.
    Discard,
};

/// How an operation uses a connection.
struct ConnectionUse {
    Limit::Priority priority { Limit::Priority::Urgent };
    /// Whether the operation is a transaction, which keeps the connection over many requests.
    bool pinned { false };
};

/// Services that a home provides to its operations.
class HomeServices {
public:
    virtual ~HomeServices() = default;

    [[nodiscard]] virtual const DatabaseName& database() const = 0;
    [[nodiscard]] virtual Incarnation incarnation() const = 0;
    /// @return the primary to write to; empty while there is none or a planned switchover holds writes.
    [[nodiscard]] virtual std::optional<Group::PrimaryView> writablePrimary(Instant now) const = 0;
    /// @return the primary to read from; empty while there is none.
    [[nodiscard]] virtual std::optional<Group::PrimaryView> readablePrimary(Instant now) const = 0;
    /// @return a replica that is known or likely to be fresh enough; empty when there is none. The operation has to
    /// check the freshness of the answer.
    [[nodiscard]] virtual std::optional<TargetName> chooseReplica(Instant now, const Route::Freshness&) = 0;
    /// @return an upper bound of the age of a log that ends at @p end; empty when no bound is known.
    [[nodiscard]] virtual std::optional<Duration> ageOf(Instant now, const LogPoint& end) const = 0;

    /// Holds the operation and calls its start() again once a primary is available.
    virtual void holdForPrimary(OperationId) = 0;
    /// Queues the operation for a connection to the target. Calls onConnectionGranted() or onConnectionRefused(),
    /// possibly before it returns.
    virtual void requestConnection(Instant now, OperationId, const TargetName&, const ConnectionUse&) = 0;
    /// Sends statements in one command on a granted connection; the result is passed to onAnswer() or
    /// onConnectionLost().
    virtual void send(Instant now, ConnectionId, std::vector<Statement>) = 0;
    virtual void release(Instant now, ConnectionId, ConnectionDisposition) = 0;
    /// Waits until a majority holds the point. Calls onDurable() or onNotDurable() later, at the latest shortly after
    /// @p deadline.
    virtual void awaitDurable(Instant now, OperationId, const LogPoint&, Instant deadline) = 0;
    /// Asks a majority to confirm that the primary has not been replaced. Calls onConfirmed() or onNotConfirmed()
    /// later, at the latest shortly after @p deadline.
    virtual void confirm(Instant now, OperationId, Instant deadline) = 0;
    /// Delivers the operation's reply to its requester.
    virtual void reply(Instant now, OperationId, HomeReply) = 0;
};

} // namespace Auburnpost
