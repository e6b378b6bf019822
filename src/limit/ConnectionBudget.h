#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "limit/Backoff.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct ConnectionBudgetSettings {
    /// Connections that the target admits, from everybody together.
    std::size_t cap { 50 };
    /// Homes that share them.
    std::size_t homes { 3 };
    /// Kept open beyond what is in use, so that a request waits for no connect.
    std::size_t warmSpare { 2 };
    /// Connects under way at a time.
    std::size_t openingLimit { 4 };
    /// Spare connections beyond warmSpare are closed after this long.
    Duration idleTimeout { 30s };
    BackoffSettings backoff {};
};

/// The connections that one home may hold to one target, counted by state. The owner of the connections reports
/// each step; the budget says when to open and close.
class ConnectionBudget {
public:
    explicit ConnectionBudget(ConnectionBudgetSettings);

    /// @return connections that this home may hold: nine tenths of the cap, shared by the homes, at least one.
    [[nodiscard]] std::size_t share() const;
    /// @return how many of them transactions may hold: half of the share, at least one.
    [[nodiscard]] std::size_t pinnedLimit() const;

    /// The cap or the number of homes changed.
    void setShare(std::size_t cap, std::size_t homes);

    /// @param waiting requests that wait for a connection.
    /// @return how many connects to start now; they count as opening from here on.
    std::size_t connectionsToOpen(Instant now, std::size_t waiting);
    /// @return how many idle connections to close now; they count as gone from here on.
    std::size_t connectionsToClose(Instant now);

    /// A connect succeeded; the connection is idle.
    void opened(Instant now);
    /// A connect failed, or the target refused it by its cap.
    void openFailed(Instant now, RandomEngine&);

    /// Takes an idle connection for one request. @return whether there was one.
    bool take(Instant now);
    /// Takes an idle connection for a transaction. @return whether there was one within the pinned limit.
    bool pin(Instant now);
    /// The connection is idle again.
    void giveBack(Instant now);
    void unpin(Instant now);

    /// A connection ended.
    void idleLost(Instant now);
    void busyLost(Instant now);
    void pinnedLost(Instant now);

    [[nodiscard]] std::size_t opening() const { return m_opening; }
    [[nodiscard]] std::size_t idle() const { return m_idle; }
    [[nodiscard]] std::size_t busy() const { return m_busy; }
    [[nodiscard]] std::size_t pinned() const { return m_pinned; }
    [[nodiscard]] std::size_t total() const { return m_opening + m_idle + m_busy + m_pinned; }
    /// @return the moment before which no connect starts; empty when there is none.
    [[nodiscard]] std::optional<Instant> retryAt() const { return m_retryAt; }

private:
    static void remove(std::size_t& count);
    void check(bool hasOpened) const;
    void noteIdle(Instant now);

    ConnectionBudgetSettings m_settings;
    Backoff m_backoff;
    std::size_t m_opening { 0 };
    std::size_t m_idle { 0 };
    std::size_t m_busy { 0 };
    std::size_t m_pinned { 0 };
    std::optional<Instant> m_retryAt;
    /// Since when more connections than the warm spare have been idle.
    std::optional<Instant> m_surplusSince;
};

} // namespace Auburnpost::Limit
