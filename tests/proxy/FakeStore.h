#pragma once

#include "proxy/StoreFollower.h"

#include <deque>

namespace Auburnpost::Proxy {

/// The platform's store in simulated time, with one table of one row that is edited at intervals. During an outage
/// every call is lost, those in progress at its start included.
class FakeStore final : public StoreDelegate {
public:
    struct Outage {
        Instant start;
        Instant end;
    };

    /// @param roundTrip time from a call to the answer of a store that has one.
    FakeStore(Outage outage, Duration editInterval, Duration roundTrip)
        : m_outage(outage)
        , m_editInterval(editInterval)
        , m_roundTrip(roundTrip)
    {
    }

    /// Makes the store lose the history of changes at the end of the outage.
    void loseHistory() { m_losesHistory = true; }

    /// Runs a follower of the table until the given time.
    /// @return the maximum time by which an edit was applied later than the bounds demand.
    Duration run(StoreFollower&, Instant until, const TimeBounds&);

    void readTable(StoreTable, const std::string& fromKey, Duration timeout) override;
    void followTable(StoreTable, RowVersion after, Duration wait, Duration timeout) override;
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration) override { }
    void writeHost(const HostName&, const std::string&) override { }

private:
    struct Call {
        Instant sentAt;
        Instant timeoutAt;
        /// Time at which the store answers a poll even without a change.
        Instant answerAt;
        RowVersion after;
        bool isRead { false };
        bool isLost { false };
    };

    [[nodiscard]] bool isOut(Instant now) const { return m_outage.start <= now && now < m_outage.end; }
    void advance(Instant now);
    void finishCall(StoreFollower&, Instant now);
    [[nodiscard]] StorePage page(const Call&) const;

    Outage m_outage;
    Duration m_editInterval;
    Duration m_roundTrip;
    bool m_losesHistory { false };
    Instant m_now {};
    Instant m_nextEditAt {};
    std::uint64_t m_version { 1 };
    /// The changes up to this version are no longer in the history.
    RowVersion m_lostHistory;
    /// Acknowledgements of the edits that the follower has not applied yet.
    std::deque<std::pair<std::uint64_t, Instant>> m_unapplied;
    std::optional<Call> m_call;
    RandomEngine m_random { 7 };
};

} // namespace Auburnpost::Proxy
