#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Time.h"
#include "engine/HomeServices.h"
#include "engine/OperationId.h"
#include "limit/AdmissionQueue.h"
#include "limit/ConnectionBudget.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost {

/// Operations that TargetPool requires from its environment.
class TargetPoolDelegate {
public:
    virtual ~TargetPoolDelegate() = default;
    virtual ConnectionId openConnection(const TargetName&) = 0;
    virtual void closeConnection(ConnectionId) = 0;
    virtual void rollBackConnection(Instant now, ConnectionId) = 0;
    virtual void connectionGranted(Instant now, OperationId, ConnectionId) = 0;
    virtual void connectionRefused(Instant now, OperationId, const Error&, std::optional<Duration> retryAfter) = 0;
};

/// The connections of one home to one target and the operations that wait for them.
class TargetPool {
public:
    /// @param inFlightLimit maximum number of operations without a transaction that run on the target at a time.
    /// @param queueLength maximum number of such operations that wait for a connection.
    TargetPool(TargetName, const Limit::ConnectionBudgetSettings&, std::size_t inFlightLimit, std::size_t queueLength,
        TargetPoolDelegate&);

    /// Queues an operation for a connection.
    void request(Instant now, const Limit::Ticket&, bool pinned);
    /// Removes an operation from the queue.
    void cancel(OperationId);
    /// Returns a connection from the operation that holds it.
    void release(Instant now, ConnectionId, ConnectionDisposition);

    void handleConnectionOpened(Instant now, ConnectionId);
    /// @return the operation that held the connection; empty when none did.
    std::optional<OperationId> handleConnectionLoss(Instant now, ConnectionId, RandomEngine&);
    /// Handles the completion of a rollback that release() requested.
    void handleRollbackDone(Instant now, ConnectionId);
    /// Refuses expired operations, grants idle connections, and opens and closes connections as the budget requires.
    void pump(Instant now);
    /// While the target is leaving, new and waiting operations are refused.
    void setLeaving(Instant now, bool leaving);
    /// Closes every connection. @return the operations that held one.
    std::vector<OperationId> shutDown();

    [[nodiscard]] bool holds(ConnectionId connection) const { return m_connections.contains(connection); }
    /// @return the operation that holds the connection; empty when none does.
    [[nodiscard]] std::optional<OperationId> holder(ConnectionId) const;
    /// @return number of operations that wait for a connection or hold one outside a transaction.
    [[nodiscard]] std::size_t load() const { return m_queue.size() + m_pinnedQueue.size() + m_budget.busy(); }
    [[nodiscard]] const Limit::ConnectionBudget& budget() const { return m_budget; }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size() + m_pinnedQueue.size(); }
    /// @return whether no connection is open and the last attempt to open one failed.
    [[nodiscard]] bool isUnreachable() const { return m_openFailed && m_budget.total() == m_budget.opening(); }
    [[nodiscard]] bool isLeaving() const { return m_leaving; }
    /// @return how often a connection was granted since this object was created.
    [[nodiscard]] std::uint64_t granted() const { return m_granted; }

private:
    enum class State : std::uint8_t {
        Opening,
        Idle,
        Busy,
        Pinned,
        /// Rolling back before it becomes idle again.
        RollingBack,
    };
    struct Connection {
        State state { State::Opening };
        OperationId holder;
        bool pinned { false };
    };

    void grantPinned(Instant now);
    void grantQueued(Instant now);
    void grant(Instant now, OperationId, State);
    void refuseExpired(Instant now);
    void refuse(Instant now, const Limit::AdmissionRefusal&);
    void makeIdle(Instant now, ConnectionId);
    void countLoss(Instant now, Connection&);
    [[nodiscard]] Error error(ErrorCode, std::string message) const;

    TargetName m_target;
    Limit::ConnectionBudget m_budget;
    Limit::AdmissionQueue m_queue;
    std::deque<Limit::Ticket> m_pinnedQueue;
    std::size_t m_inFlightLimit;
    TargetPoolDelegate& m_delegate;
    std::map<ConnectionId, Connection> m_connections;
    std::vector<ConnectionId> m_idle;
    bool m_leaving { false };
    bool m_openFailed { false };
    std::uint64_t m_granted { 0 };
};

} // namespace Auburnpost
