#include "proxy/TableTimes.h"

#include "proxy/TargetDirectory.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Limits below this one leave no time for a poll before the failed calls.
    constexpr Duration minLimit = std::chrono::milliseconds(1100);
    constexpr int answerTimeoutsPerLimit = 8;
    constexpr int retryDelaysPerLimit = 10;
    /// The longest poll, in thousandths of the limit. A host that lost a poll notices it about half of its limit later.
    constexpr int pollShare = 515;
    /// Calls that are answered after the last failed one: a poll, and a read of the table if the store no longer has
    /// the history of changes.
    constexpr int answersAfterFailure = 2;
    /// Events are handled, and delays end, at most this much late.
    constexpr Duration schedulingDelay = std::chrono::milliseconds(60);
    /// The limit of a hop, in hundredths of that of both. A feeder refuses its followers once it is behind, so that the
    /// failed calls of both hops do not add up.
    constexpr int hopShare = 55;

    constexpr int thousandths = 1000;
    constexpr int hundredths = 100;

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
    , m_pollWait(std::clamp(
          std::min(m_limit * pollShare / thousandths, m_limit - afterLoss(providedFailures)), Duration {}, maxPollWait))
{
}

std::optional<Duration> TableTimes::hopLimit(const TimeBounds& bounds)
{
    const auto limit = targetsLimit(bounds) * hopShare / hundredths;
    return limit < minHopLimit ? std::nullopt : std::optional(limit);
}

TableTimes TableTimes::forConfiguration(const TimeBounds& bounds, bool usesFeeders)
{
    const auto limit = std::min(bounds.configuration, bounds.recovery);
    return TableTimes(usesFeeders ? limit * hopShare / hundredths : limit);
}

TableTimes TableTimes::forTargets(const TimeBounds& bounds, bool usesFeeders)
{
    const auto limit = targetsLimit(bounds);
    return TableTimes(usesFeeders ? limit * hopShare / hundredths : limit);
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

Duration TableTimes::afterLoss(std::size_t failures) const
{
    return minAnswerTimeout + failures * tryTimeout() + answersAfterFailure * minAnswerTimeout + schedulingDelay;
}

Duration TableTimes::maxDelay(std::size_t failures) const
{
    return m_pollWait + afterLoss(failures);
}

} // namespace Auburnpost::Proxy
