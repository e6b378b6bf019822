#include "proxy/TableTimes.h"

#include "proxy/TargetDirectory.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Limits below this one leave no time for a poll between a failed call and the answers after it.
    constexpr Duration minLimit = std::chrono::milliseconds(1000);
    constexpr int answerTimeoutsPerLimit = 8;
    constexpr int retryDelaysPerLimit = 10;
    /// Calls that are answered after the last failed one: a probe, and a read of the table if the store no longer has
    /// the history of changes.
    constexpr int answersAfterFailure = 2;
    /// Events are handled, and delays end, at most this much late.
    constexpr Duration schedulingDelay = std::chrono::milliseconds(60);
    /// From the store to a feeder, and from there to a follower.
    constexpr int hops = 2;

    Duration targetsLimit(const TimeBounds& bounds)
    {
        const auto drain = bounds.drain - TargetDirectory::minMissingTimeout - TargetDirectory::removalDelay;
        return std::min({ bounds.configuration, bounds.recovery, drain });
    }

} // namespace

TableTimes::TableTimes(Duration limit)
    : m_limit(std::max(limit, minLimit))
    , m_answerTimeout(std::max(m_limit / answerTimeoutsPerLimit, minAnswerTimeout))
    , m_maxRetryDelay(m_limit / retryDelaysPerLimit)
{
    const auto afterFailure = m_maxRetryDelay + answersAfterFailure * m_answerTimeout + schedulingDelay;
    m_pollWait = std::clamp(m_limit - afterFailure - m_answerTimeout, Duration {}, maxPollWait);
}

std::optional<Duration> TableTimes::hopLimit(const TimeBounds& bounds)
{
    const auto limit = targetsLimit(bounds) / hops;
    return limit < minHopLimit ? std::nullopt : std::optional(limit);
}

TableTimes TableTimes::forConfiguration(const TimeBounds& bounds, bool usesFeeders)
{
    const auto limit = std::min(bounds.configuration, bounds.recovery);
    return TableTimes(usesFeeders ? limit / hops : limit);
}

TableTimes TableTimes::forTargets(const TimeBounds& bounds, bool usesFeeders)
{
    const auto limit = targetsLimit(bounds);
    return TableTimes(usesFeeders ? limit / hops : limit);
}

Duration TableTimes::callTimeout(std::size_t failures) const
{
    auto timeout = m_answerTimeout;
    for (std::size_t count = 0; count < failures && timeout < pollTimeout(); ++count)
        timeout *= 2;
    return std::min(timeout, pollTimeout());
}

Duration TableTimes::minRetryDelay() const
{
    return m_maxRetryDelay / 3;
}

Duration TableTimes::maxDelay() const
{
    return pollTimeout() + m_maxRetryDelay + answersAfterFailure * m_answerTimeout + schedulingDelay;
}

} // namespace Auburnpost::Proxy
