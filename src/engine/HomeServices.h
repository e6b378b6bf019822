#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"
#include "engine/OperationId.h"
#include "group/GroupView.h"
#include "limit/Ticket.h"
#include "message/Statement.h"
#include "message/WorkReply.h"

#include <optional>
#include <vector>

namespace Auburnpost {

namespace Route {
    struct Freshness;
}

/// What becomes of a connection that an operation gives back.
enum class ConnectionFate : std::uint8_t {
    /// It is in its first state; the next operation may have it.
    Reuse,
    /// Its transaction is to be rolled back first.
    RollBack,
    /// Its state is not known.
    Discard,
};

/// How an operation uses a connection.
struct ConnectionUse {
    Limit::Priority priority { Limit::Priority::Urgent };
    /// A transaction keeps it over many requests.
    bool pinned { false };
};

/// What a home does for its operations.
class HomeServices {
public:
    virtual ~HomeServices() = default;

    [[nodiscard]] virtual const DatabaseName& database() const = 0;
    [[nodiscard]] virtual Incarnation incarnation() const = 0;
    /// @return the primary that may be written to; empty while there is none or a planned switch holds writes back.
    [[nodiscard]] virtual std::optional<Group::PrimaryView> writablePrimary(Instant now) const = 0;
    /// @return the primary that may be read from; empty while there is none.
    [[nodiscard]] virtual std::optional<Group::PrimaryView> readablePrimary(Instant now) const = 0;
    [[nodiscard]] virtual std::optional<TargetName> chooseReplica(Instant now, const Route::Freshness&) = 0;
    [[nodiscard]] virtual std::optional<Duration> ageOf(Instant now, const LogPoint& end) const = 0;

    /// Starts the operation again as soon as there is a primary.
    virtual void holdForPrimary(OperationId) = 0;
    virtual void requestConnection(Instant now, OperationId, const TargetName&, const ConnectionUse&) = 0;
    virtual void send(Instant now, ConnectionId, std::vector<Statement>) = 0;
    virtual void release(Instant now, ConnectionId, ConnectionFate) = 0;
    /// Calls durable() or notDurable() later, at the latest soon after @p deadline.
    virtual void awaitDurable(Instant now, OperationId, const LogPoint&, Instant deadline) = 0;
    /// Calls confirmed() or notConfirmed() later, at the latest soon after @p deadline.
    virtual void confirm(Instant now, OperationId, Instant deadline) = 0;
    /// Hands the one reply to whoever asked.
    virtual void reply(Instant now, OperationId, WorkReply) = 0;
};

} // namespace Auburnpost
