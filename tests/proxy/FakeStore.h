#pragma once

#include "proxy/SeriesFailure.h"
#include "proxy/StoreFollower.h"

#include <deque>
#include <map>
#include <vector>

namespace Auburnpost::Proxy {

/// The platform's store in simulated time, with one table of one row that is edited at intervals. The value of the row
/// is the number of the edit. During an outage every call is lost, those in progress at its start included.
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
    /// Makes the store come back from the outage in a new era, from a copy of itself. The newest edit is written again.
    /// @param age of the copy at the start of the outage.
    /// @param rewriteDelay time from the end of the outage until the newest edit is written again.
    void comeBackFromCopy(Duration age, Duration rewriteDelay)
    {
        m_copyAge = age;
        m_rewriteDelay = rewriteDelay;
    }
    /// Makes the first calls after the outage fail, one after another.
    void failAfterOutage(std::vector<SeriesFailure> series) { m_series = std::move(series); }
    /// @return the largest age of the copy by changes that were acknowledged, counted from the end of the outage on.
    [[nodiscard]] Duration largestAge() const { return m_largestAge; }
    /// Writes rows of other tables at intervals, which use versions of the same counter.
    void writeOtherRows(Duration interval) { m_otherWriteInterval = interval; }
    /// @return the calls since the start.
    [[nodiscard]] std::size_t calls() const { return m_callCount; }

    /// Runs a follower of the table until the given time.
    /// @return the maximum time by which an edit was applied later than the bounds demand.
    Duration run(StoreFollower&, Instant until, const TimeBounds&);
    /// Has another table, which is never edited, followed beside.
    void alsoFollow(StoreFollower& other) { m_other = &other; }

    void readTable(StoreTable, const std::string& fromKey, Duration timeout, StoreCallSlot) override;
    void followTable(StoreTable, RowVersion after, Duration wait, Duration timeout, StoreCallSlot) override;
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable table, StoreCallSlot slot) override { m_calls.erase({ table, slot }); }
    void writeHost(const HostName&, const std::string&) override { }

private:
    using CallKey = std::pair<StoreTable, StoreCallSlot>;

    struct Call {
        Instant sentAt;
        Instant timeoutAt;
        /// Time at which the store answers a poll even without a change.
        Instant answerAt;
        RowVersion after;
        bool isRead { false };
        bool isLost { false };
        std::optional<SeriesFailure> failure {};
    };

    /// What a copy of the store holds.
    struct Content {
        Instant writtenAt;
        std::uint64_t version { 1 };
        std::uint64_t rowVersion { 1 };
        std::uint64_t edit { 0 };
    };

    [[nodiscard]] bool isOut(Instant now) const { return m_outage.start <= now && now < m_outage.end; }
    void write(Instant now, std::uint64_t edit);
    void restoreCopy(Instant now);
    void start(const CallKey&, Call);
    void advance(Instant now);
    /// Answers, or fails, the calls that are due.
    void finishCalls(StoreFollower&, Instant now);
    [[nodiscard]] bool hasAnswer(const CallKey&, const Call&, Instant now) const;
    [[nodiscard]] StorePage page(StoreTable, const Call&) const;
    /// @return the answer to a call that is not lost.
    [[nodiscard]] Expected<StorePage> answerTo(StoreTable, const Call&) const;

    Outage m_outage;
    Duration m_editInterval;
    Duration m_roundTrip;
    bool m_losesHistory { false };
    Instant m_now {};
    Instant m_nextEditAt {};
    Duration m_otherWriteInterval {};
    Instant m_nextOtherWriteAt {};
    StoreEra m_era;
    /// All contents of this era, the present one last.
    std::vector<Content> m_contents { {} };
    std::uint64_t m_newestEdit { 0 };
    std::optional<Duration> m_copyAge;
    Duration m_rewriteDelay {};
    std::optional<Instant> m_rewriteAt;
    std::size_t m_callCount { 0 };
    /// The changes up to this version are no longer in the history.
    std::uint64_t m_lostHistory { 0 };
    /// Acknowledgements of the edits that the follower has not applied yet.
    std::deque<std::pair<std::uint64_t, Instant>> m_unapplied;
    std::map<CallKey, Call> m_calls;
    /// The table that is edited; the first one that is called for.
    std::optional<StoreTable> m_table;
    StoreFollower* m_other { nullptr };
    std::vector<SeriesFailure> m_series;
    std::size_t m_failedInSeries { 0 };
    Duration m_largestAge {};
    RandomEngine m_random { 7 };
};

} // namespace Auburnpost::Proxy
