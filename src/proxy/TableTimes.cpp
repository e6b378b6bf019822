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
    constexpr int pollShare = 525;
    /// Calls that are answered after the last failed one: a poll, and a read of the table if the store no longer has
    /// the history of changes.
    constexpr int answersAfterFailure = 2;
    /// Events are handled, and delays end, at most this much late.
    constexpr Duration schedulingDelay = std::chrono::milliseconds(60);
    /// The limit of a hop, in hundredths of that of both. A feeder refuses its followers once it is behind, so that the
    /// failed calls of both hops do not add up.
    constexpr int hopShare = 53;

    constexpr int thousandths = 1000;
    constexpr int hundredths = 100;

    Duration targetsLimit(const TimeBounds& bounds)
    {
        const auto drain = bounds.drain - TargetDirectory::minMissingTimeout - TargetDirectory::removalDelay;
        return std::min({ bounds.configuration, bounds.recovery, drain });
    }

} // namespace

TableTimes::TableTimes(Duration limit, Duration pollLimit)
    : m_limit(std::max(limit, minLimit))
    , m_answerTimeout(std::max(std::min(m_limit, pollLimit) / answerTimeoutsPerLimit, minAnswerTimeout))
    , m_maxRetryDelay(m_limit / retryDelaysPerLimit)
    , m_pollWait(std::clamp(std::min(pollLimit * pollShare / thousandths, m_limit - afterLoss(providedFailures)),
          Duration {}, maxPollWait))
{
}

TableTimes TableTimes::forLimit(Duration limit, bool usesFeeders)
{
    return { limit, usesFeeders ? limit * hopShare / hundredths : std::max(limit, minLimit) };
}

std::optional<Duration> TableTimes::hopLimit(const TimeBounds& bounds)
{
    const auto limit = targetsLimit(bounds) * hopShare / hundredths;
    return limit < minHopLimit ? std::nullopt : std::optional(limit);
}

TableTimes TableTimes::forConfiguration(const TimeBounds& bounds, bool usesFeeders)
{
    const auto limit = std::min(bounds.configuration, bounds.recovery);
    return forLimit(limit, usesFeeders);
}

TableTimes TableTimes::forTargets(const TimeBounds& bounds, bool usesFeeders)
{
    const auto limit = targetsLimit(bounds);
    return forLimit(limit, usesFeeders);
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

Duration TableTimes::feedAgeLimit() const
{
    // The poll ends by its timeout, and the store is called at once.
    return m_limit - pollTimeout() - afterLoss(providedFailures) + minAnswerTimeout;
}

Duration TableTimes::maxDelay(std::size_t failures) const
{
    return m_pollWait + afterLoss(failures);
}

} // namespace Auburnpost::Proxy
