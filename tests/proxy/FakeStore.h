#pragma once

#include "proxy/StoreFollower.h"

#include <deque>

namespace Auburnpost::Proxy {

/// The platform's store in simulated time, with one table of one row that is edited at intervals. During an outage
/// every call is lost, those in progress at its start included.
class FakeStore final : public StoreDelegate {
public:
    /// Time from a call to the answer of a store that has one.
    static constexpr Duration roundTrip = std::chrono::milliseconds(45);

    struct Outage {
        Instant start;
        Instant end;
    };

    FakeStore(Outage outage, Duration editInterval)
        : m_outage(outage)
        , m_editInterval(editInterval)
    {
    }

    /// Runs a follower of the table until the given time.
    /// @return the maximum time for which an edit was not applied though a host in touch has to apply it: later than
    /// `propagation` after its acknowledgement and `recovery` after the outage.
    Duration run(StoreFollower&, Instant until, Duration propagation, Duration recovery);

    void readTable(StoreTable, const std::string& fromKey) override;
    void followTable(StoreTable, RowVersion after, Duration wait) override;
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
    [[nodiscard]] StorePage page() const;

    Outage m_outage;
    Duration m_editInterval;
    Instant m_now {};
    Instant m_nextEditAt {};
    std::uint64_t m_version { 1 };
    /// Acknowledgements of the edits that the follower has not applied yet.
    std::deque<std::pair<std::uint64_t, Instant>> m_unapplied;
    std::optional<Call> m_call;
    RandomEngine m_random { 7 };
};

} // namespace Auburnpost::Proxy
