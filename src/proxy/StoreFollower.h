#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "base/Time.h"
#include "proxy/FeedPage.h"
#include "proxy/StoreContact.h"
#include "proxy/StoreDelegate.h"
#include "proxy/TableOrigin.h"
#include "proxy/TableTimes.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// Maintains a local copy of one table of the platform's store: reads the whole table, then follows its changes by
/// long polls, and reads the whole table again when the store no longer has the history of changes. A call that is
/// overdue, or in doubt as calls for another table fail, gets a second try beside it, which doesn't wait for changes.
/// Each further failed call then costs no more than the interval between tries, however long its timeout.
/// A row is never replaced by an older version. Once an answer is of a later era of the store, the whole table is read
/// again, as the changes after a version of an earlier era are not known.
class StoreFollower {
public:
    /// A call of this follower.
    struct Call {
        bool isInProgress { false };
        Instant sentAt {};
        /// How long the other side may wait for a change before it answers.
        Duration wait {};
        Duration timeout {};
        /// Whether its timeout grows with the failures, so that a slow store is read as well.
        bool isPatient { false };
        bool isRead { false };
        /// The host that was called; empty if it was the store.
        std::optional<SocketAddress> feeder;
        /// The version after which changes were requested.
        RowVersion after;
        /// The pages received so far by a read.
        TableState partialRead;
    };

    /// The outcome of the calls so far.
    struct CallHistory {
        /// Whether the last call succeeded.
        bool isConnected { false };
        /// When the first of the calls that failed since the last success ended; empty while calls succeed.
        std::optional<Instant> failingSince;
        /// Calls that failed since the last success.
        std::size_t failures { 0 };
    };

    /// @param contact shared by the followers of a host.
    StoreFollower(StoreTable, TableTimes, StoreContact& contact, StoreDelegate&);

    /// Applies from the next call on.
    void setTimes(TableTimes times) { m_times = times; }
    /// Follows the table at another host, from the next call on. A call to another one that is in progress is in doubt.
    /// @param feeder the address of that host; empty to follow the store.
    void setFeeder(const std::optional<SocketAddress>& feeder) { m_feeder = feeder; }

    /// The process was paused. Calls that were sent before count as answered, or failed, at the start of the pause.
    void resumedAfterPause(Instant pausedAt, Instant now);
    /// Starts the next call, or a second try, if one is due.
    void tick(Instant now);
    /// @return why the answer to a read or a long poll can't be used; empty if it can.
    [[nodiscard]] std::optional<Error> rejectionOfRead(const StorePage&, StoreCallSlot) const;
    [[nodiscard]] std::optional<Error> rejectionOfPoll(const StorePage&) const;
    /// Handles the result of a read or of a long poll. An answer that can't be used counts as a failed call. After one
    /// that can be used, the other call in progress is cancelled.
    /// @return whether the table changed.
    bool tableRead(Instant now, RandomEngine&, const Expected<StorePage>&, StoreCallSlot = StoreCallSlot::First);
    bool tableFollowed(Instant now, RandomEngine&, const Expected<StorePage>&, StoreCallSlot = StoreCallSlot::First);
    /// Handles the answer of a feeder.
    /// @return whether the table changed.
    bool feederAnswered(Instant now, RandomEngine&, const Expected<FeedPage>&, StoreCallSlot = StoreCallSlot::First);
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
    [[nodiscard]] const CallHistory& calls() const { return m_history; }
    /// @return the call in a slot, or the last one that was.
    [[nodiscard]] const Call& call(StoreCallSlot slot) const { return m_slots[static_cast<std::size_t>(slot)]; }
    /// @return when the earliest call in progress was sent; empty if there is none.
    [[nodiscard]] std::optional<Instant> earliestCallSentAt() const;
    /// @return whether calls fail, or the one in progress may be lost.
    [[nodiscard]] bool isBehind(Instant now) const;
    /// @return the time within which a change is to be known.
    [[nodiscard]] Duration limit() const { return m_times.limit(); }
    /// @return the age above which a copy is not passed on, or taken from a feeder.
    [[nodiscard]] Duration feedAgeLimit() const { return m_times.feedAgeLimit(); }

private:
    [[nodiscard]] Call& callIn(StoreCallSlot slot) { return m_slots[static_cast<std::size_t>(slot)]; }
    /// @return the slot of the earliest call in progress; empty if there is none.
    [[nodiscard]] std::optional<StoreCallSlot> earliestInProgress() const;
    /// @return whether the store should have answered the call. One to a feeder ends by its timeout.
    [[nodiscard]] static bool isOverdue(const Call&, Instant now);
    /// @return whether a call in progress may be lost.
    [[nodiscard]] bool isInDoubt(const Call&, Instant now) const;
    void send(StoreCallSlot, Instant now);
    /// @return the latest moment that the answer to a call is known to reflect.
    [[nodiscard]] Instant answeredAt(const Call& call, Instant now) const
    {
        return call.sentAt < m_resumedAt ? m_pausedAt : now;
    }
    void recordFailure(Instant now, RandomEngine&, StoreCallSlot);
    /// Records that a call was answered, and cancels the other one.
    void recordAnswer(Instant now, StoreCallSlot);
    bool mergeChanges(const StorePage&);
    void recordConfirmation(Instant now);

    StoreTable m_table;
    TableTimes m_times;
    StoreContact& m_contact;
    StoreDelegate& m_delegate;
    TableState m_state;
    std::array<Call, 2> m_slots;
    bool m_needsRead { true };
    CallHistory m_history;
    /// Patient calls that failed since the last success.
    std::size_t m_patientFailures { 0 };
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
