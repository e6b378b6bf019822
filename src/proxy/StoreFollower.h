#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "base/Time.h"
#include "proxy/StoreTable.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// Operations that StoreFollower and HostDirectory require from their environment.
class StoreDelegate {
public:
    virtual ~StoreDelegate() = default;
    /// Reads a page of a table, starting at a key.
    virtual void readTable(StoreTable, const std::string& fromKey) = 0;
    /// Long-polls for changes after a version.
    virtual void followTable(StoreTable, RowVersion after, Duration wait) = 0;
    /// Writes this host's record.
    virtual void writeHost(const HostName&, const std::string& value) = 0;
};

/// Maintains a local copy of one table of the platform's store: reads the whole table, then follows its changes by
/// long polls, and reads the whole table again when the store no longer has the history of changes. A row is never
/// replaced by an older version.
class StoreFollower {
public:
    /// Maximum time that the store waits for changes in a long poll. A connection that goes dead without an error is
    /// detected only after this time plus responseTimeout.
    static constexpr Duration longPollWait = std::chrono::milliseconds(5000);
    /// Timeout of a call, in addition to the wait of a long poll; a healthy store answers within milliseconds.
    static constexpr Duration responseTimeout = std::chrono::milliseconds(1000);
    /// Bounds of the random delay after a failed call.
    static constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
    static constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);

    /// The outcome of the calls so far.
    struct CallHistory {
        /// Whether the last call succeeded.
        bool isConnected { false };
        /// When the call in progress, or otherwise the last call, was sent.
        Instant sentAt {};
        /// When the first of the calls that failed since the last success ended; empty while calls succeed.
        std::optional<Instant> failingSince;
        /// Calls that failed since the last success.
        std::size_t failures { 0 };
    };

    StoreFollower(StoreTable, StoreDelegate&);

    /// Starts the next call if one is due.
    void tick(Instant now);
    /// Handles the result of a read or of a long poll.
    /// @return whether the table changed.
    bool tableRead(Instant now, RandomEngine&, const Expected<StorePage>&);
    bool tableFollowed(Instant now, RandomEngine&, const Expected<StorePage>&);
    /// Adopts a peer's copy of the table if it is newer.
    /// @return whether the copy was adopted.
    bool adopt(const TableState&);

    [[nodiscard]] const TableState& state() const { return m_state; }
    /// @return whether the table was read, or adopted from a peer, at least once.
    [[nodiscard]] bool isKnown() const { return m_state.asOf != RowVersion {}; }
    /// @return the outcome of the calls so far.
    [[nodiscard]] const CallHistory& calls() const { return m_calls; }

private:
    void recordFailure(Instant now, RandomEngine&);
    void recordAnswer(Instant now);
    bool mergeChanges(const StorePage&);

    StoreTable m_table;
    StoreDelegate& m_delegate;
    TableState m_state;
    /// The pages received so far by the read in progress.
    TableState m_partialRead;
    bool m_needsRead { true };
    bool m_isCalling { false };
    CallHistory m_calls;
    Instant m_nextCallAt {};
};

} // namespace Auburnpost::Proxy
