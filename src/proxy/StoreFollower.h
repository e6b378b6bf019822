#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "base/Time.h"
#include "proxy/FeedPage.h"
#include "proxy/StoreTable.h"
#include "proxy/TableOrigin.h"
#include "proxy/TableTimes.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// Operations that StoreFollower and HostDirectory require from their environment.
class StoreDelegate {
public:
    virtual ~StoreDelegate() = default;
    /// Reads a page of a table, starting at a key.
    virtual void readTable(StoreTable, const std::string& fromKey, Duration timeout) = 0;
    /// Polls for changes after a version.
    /// @param wait how long the store waits for a change; zero for an answer at once.
    virtual void followTable(StoreTable, RowVersion after, Duration wait, Duration timeout) = 0;
    /// Requests changes after a version from another host.
    /// @param wait how long that host waits for a change; zero for an answer at once.
    virtual void followFeeder(
        const SocketAddress& feeder, StoreTable, RowVersion after, Duration wait, Duration timeout)
        = 0;
    /// Writes this host's record.
    virtual void writeHost(const HostName&, const std::string& value) = 0;
};

/// Maintains a local copy of one table of the platform's store: reads the whole table, then follows its changes by
/// long polls, and reads the whole table again when the store no longer has the history of changes. After a failed call
/// it polls without a wait until the store answers, as a long poll that an outage swallowed would outlast the outage.
/// A row is never replaced by an older version. Once an answer is of a later era of the store, the whole table is read
/// again, as the changes after a version of an earlier era are not known.
class StoreFollower {
public:
    /// The outcome of the calls so far.
    struct CallHistory {
        /// Whether the last call succeeded.
        bool isConnected { false };
        /// When the call in progress, or otherwise the last call, was sent.
        Instant sentAt {};
        /// The timeout of that call, and how long the other side may wait for a change before it answers.
        Duration timeout {};
        Duration wait {};
        /// When the first of the calls that failed since the last success ended; empty while calls succeed.
        std::optional<Instant> failingSince;
        /// Calls that failed since the last success.
        std::size_t failures { 0 };
    };

    StoreFollower(StoreTable, TableTimes, StoreDelegate&);

    /// Applies from the next call on.
    void setTimes(TableTimes times) { m_times = times; }
    /// Follows the table at another host, from the next call on.
    /// @param feeder the address of that host; empty to follow the store.
    void setFeeder(const std::optional<SocketAddress>& feeder) { m_feeder = feeder; }

    /// The process was paused. Calls that were sent before count as answered, or failed, at the start of the pause.
    void resumedAfterPause(Instant pausedAt, Instant now);
    /// Starts the next call if one is due.
    void tick(Instant now);
    /// @return why the answer to a read or a long poll can't be used; empty if it can.
    [[nodiscard]] std::optional<Error> rejectionOfRead(const StorePage&) const;
    [[nodiscard]] std::optional<Error> rejectionOfPoll(const StorePage&) const;
    /// Handles the result of a read or of a long poll. An answer that can't be used counts as a failed call.
    /// @return whether the table changed.
    bool tableRead(Instant now, RandomEngine&, const Expected<StorePage>&);
    bool tableFollowed(Instant now, RandomEngine&, const Expected<StorePage>&);
    /// Handles the answer of a feeder.
    /// @return whether the table changed.
    bool feederAnswered(Instant now, RandomEngine&, const Expected<FeedPage>&);
    /// Adopts a peer's copy of the table if it is newer.
    /// @return whether the copy was adopted.
    bool adopt(const TableState&, const SocketAddress& peer);
    /// Takes the table as read from the store by another call, if it is newer.
    /// @return whether it is newer.
    bool adoptRead(Instant now, const TableState&);

    [[nodiscard]] const TableState& state() const { return m_state; }
    /// @return whether the table was read, or adopted from a peer, at least once.
    [[nodiscard]] bool isKnown() const { return m_state.asOf != RowVersion {}; }
    /// @return where the table's content came from.
    [[nodiscard]] TableOrigin origin() const { return { m_confirmedAt, m_peer, m_state.asOf }; }
    /// @return the outcome of the calls so far.
    [[nodiscard]] const CallHistory& calls() const { return m_calls; }
    /// @return whether calls fail, or the one in progress should have been answered already.
    [[nodiscard]] bool isBehind(Instant now) const;
    /// @return the time within which a change is to be known.
    [[nodiscard]] Duration limit() const { return m_times.limit(); }

private:
    /// @return the latest moment that the answer to the call in progress is known to reflect.
    [[nodiscard]] Instant answeredAt(Instant now) const { return m_calls.sentAt < m_resumedAt ? m_pausedAt : now; }
    void recordFailure(Instant now, RandomEngine&);
    void recordAnswer(Instant now);
    bool mergeChanges(const StorePage&);
    void recordConfirmation(Instant now);

    StoreTable m_table;
    TableTimes m_times;
    StoreDelegate& m_delegate;
    TableState m_state;
    /// The pages received so far by the read in progress.
    TableState m_partialRead;
    bool m_needsRead { true };
    bool m_isCalling { false };
    /// The version after which changes were requested in the call in progress.
    RowVersion m_polledAfter;
    CallHistory m_calls;
    /// When the store last answered with all changes up to then.
    std::optional<Instant> m_confirmedAt;
    /// The peer whose copy was adopted since then.
    std::optional<SocketAddress> m_peer;
    std::optional<SocketAddress> m_feeder;
    Instant m_nextCallAt {};
    /// Start and end of the last pause of the process.
    Instant m_pausedAt {};
    Instant m_resumedAt {};
};

} // namespace Auburnpost::Proxy
