#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "limit/Backoff.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct ConnectionBudgetSettings {
    /// Number of connections that the target admits from all clients together.
    std::size_t cap { 50 };
    /// Number of homes that share the cap.
    std::size_t homes { 3 };
    /// Number of connections kept open beyond those in use, so that a request does not have to wait for a connect.
    std::size_t warmSpare { 2 };
    /// Maximum number of concurrent connects.
    std::size_t openingLimit { 4 };
    /// Time after which idle connections beyond warmSpare are closed.
    Duration idleTimeout { 30s };
    BackoffSettings backoff {};
};

/// Counts the connections of one home to one target by state and limits them to the home's share. The owner of the
/// connections reports each change of state; the budget decides how many to open and close.
class ConnectionBudget {
public:
    explicit ConnectionBudget(ConnectionBudgetSettings);

    /// @return the number of connections that this home may hold: nine tenths of the cap divided by the number of
    /// homes, at least one.
    [[nodiscard]] std::size_t share() const;
    /// @return the number of connections that transactions may hold: half of the share, at least one.
    [[nodiscard]] std::size_t pinnedLimit() const;

    /// Sets the cap of the target and the number of homes.
    void setShare(std::size_t cap, std::size_t homes);

    /// @param waiting number of requests that wait for a connection.
    /// @return the number of connects to start now; they count as opening from this call on.
    std::size_t connectionsToOpen(Instant now, std::size_t waiting);
    /// @return the number of idle connections to close now; they no longer count from this call on.
    std::size_t connectionsToClose(Instant now);

    /// Records a successful connect; the connection is idle.
    void recordOpened(Instant now);
    /// Records a connect that failed or that the target refused because of its cap.
    void recordOpenFailure(Instant now, RandomEngine&);

    /// Reserves an idle connection for one request. @return whether there was one.
    bool acquire(Instant now);
    /// Reserves an idle connection for a transaction. @return whether there was one within the pinned limit.
    bool pin(Instant now);
    /// Returns a connection that acquire() reserved; it is idle again.
    void returnConnection(Instant now);
    /// Returns a connection that pin() reserved; it is idle again.
    void unpin(Instant now);

    /// Records the loss of a connection in the given state.
    void recordIdleLoss(Instant now);
    void recordBusyLoss(Instant now);
    void recordPinnedLoss(Instant now);

    [[nodiscard]] std::size_t opening() const { return m_opening; }
    [[nodiscard]] std::size_t idle() const { return m_idle; }
    [[nodiscard]] std::size_t busy() const { return m_busy; }
    [[nodiscard]] std::size_t pinned() const { return m_pinned; }
    [[nodiscard]] std::size_t total() const { return m_opening + m_idle + m_busy + m_pinned; }
    /// @return the moment before which no connect starts; empty when no connect has failed since the last success.
    [[nodiscard]] std::optional<Instant> retryAt() const { return m_retryAt; }

private:
    static void decrement(std::size_t& count);
    void checkShare(bool hasOpened) const;
    void updateSurplus(Instant now);

    ConnectionBudgetSettings m_settings;
    Backoff m_backoff;
    std::size_t m_opening { 0 };
    std::size_t m_idle { 0 };
    std::size_t m_busy { 0 };
    std::size_t m_pinned { 0 };
    std::optional<Instant> m_retryAt;
    /// When the number of idle connections rose above warmSpare; empty while it is not above.
    std::optional<Instant> m_surplusSince;
};

} // namespace Auburnpost::Limit
