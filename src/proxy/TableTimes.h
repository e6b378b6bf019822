#pragma once

#include "proxy/TimeBounds.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace Auburnpost::Proxy {

/// Timeouts and delays with which a table of the store is followed, derived from the time within which a host has to
/// know its changes. After a poll was lost they leave room for failed calls.
class TableTimes {
public:
    /// Longest round trip to a healthy store, with the establishment of a connection. A call that takes longer is
    /// overdue.
    static constexpr Duration minAnswerTimeout = std::chrono::milliseconds(250);
    static constexpr std::size_t failuresBeforeLongInterval = 2;
    /// A longer poll saves hardly any calls.
    static constexpr Duration maxPollWait = std::chrono::milliseconds(5000);
    /// Failed calls after the loss of a poll for which the times leave room.
    static constexpr std::size_t providedFailures = 1;

    /// @param limit time within which a change is known after its acknowledgement and after an outage; one below a
    /// second is exceeded.
    explicit TableTimes(Duration limit)
        : TableTimes(limit, limit)
    {
    }

    /// Smallest limit of one hop for which tables are followed through feeders.
    static constexpr Duration minHopLimit = std::chrono::milliseconds(1590);

    /// @return the limit of each of the two hops, from the store to a feeder and from there to a follower; empty if the
    /// bounds leave too little time for two.
    static std::optional<Duration> hopLimit(const TimeBounds&);
    /// @param usesFeeders whether the table is followed in two hops.
    /// @return the times for the table of the configuration.
    static TableTimes forConfiguration(const TimeBounds& bounds) { return forConfiguration(bounds, false); }
    static TableTimes forConfiguration(const TimeBounds&, bool usesFeeders);
    /// @return the times for the table of the targets. A target is used for missingTimeout after its record
    /// disappeared.
    static TableTimes forTargets(const TimeBounds& bounds) { return forTargets(bounds, false); }
    static TableTimes forTargets(const TimeBounds&, bool usesFeeders);

    /// @return the time within which a change is to be known.
    [[nodiscard]] Duration limit() const { return m_limit; }
    /// @return how long the store waits for a change in a long poll.
    [[nodiscard]] Duration pollWait() const { return m_pollWait; }
    [[nodiscard]] Duration pollTimeout() const { return m_pollWait + m_answerTimeout; }
    /// @param failures calls that failed since the last success.
    /// @return the timeout of a call that the store answers at once. It grows with the failures, so that a slow store
    /// is read as well.
    [[nodiscard]] Duration callTimeout(std::size_t failures) const;
    /// @return the timeout of a second try beside a call that is in doubt.
    [[nodiscard]] Duration tryTimeout() const { return std::max(m_maxRetryDelay, minAnswerTimeout); }
    /// @param failures calls that failed since the last success.
    /// @return the minimum time from one second try of a host to the next. It is longer once several calls have failed:
    /// the wait of a lost poll is over then, so that the return of the store is noticed in time all the same.
    [[nodiscard]] Duration tryInterval(std::size_t failures) const
    {
        return failures <= failuresBeforeLongInterval ? m_maxRetryDelay : m_maxRetryDelay * 3 / 2;
    }
    /// Bounds of the random time from a failed call to the next.
    [[nodiscard]] Duration minRetryDelay() const;
    [[nodiscard]] Duration maxRetryDelay() const { return m_maxRetryDelay; }
    /// @return the age above which a feeder's copy is not followed: what the limit leaves beside the delay of a
    /// follower whose poll of the feeder is lost. The copy of a feeder whose polls are answered is younger.
    [[nodiscard]] Duration feedAgeLimit() const;
    /// @param failures calls that fail, one after another, after the poll that was lost.
    /// @return the longest time, after a change was acknowledged or after an outage ended, until the change is known.
    [[nodiscard]] Duration maxDelay(std::size_t failures = providedFailures) const;

private:
    /// @param pollLimit the limit from which the wait of the polls is derived, that of a hop if there are two.
    TableTimes(Duration limit, Duration pollLimit);
    /// @return the times for a table that is to be known within a limit.
    static TableTimes forLimit(Duration limit, bool usesFeeders);
    /// @return the longest time from the end of the wait of a lost poll until the table is known.
    [[nodiscard]] Duration afterLoss(std::size_t failures) const;

    Duration m_limit;
    Duration m_answerTimeout;
    Duration m_maxRetryDelay;
    Duration m_pollWait;
};

} // namespace Auburnpost::Proxy
