#include "limit/RetryPolicy.h"

#include <algorithm>

namespace Auburnpost::Limit {

std::optional<Instant> RetryPolicy::nextStart(
    Instant now, std::uint32_t attempts, Instant deadline, Duration cost, Instant notBefore, RandomEngine& random) const
{
    if (attempts >= m_settings.attempts)
        return std::nullopt;
    const auto latest = deadline - cost;
    const auto earliest = std::max(now, notBefore);
    if (earliest > latest)
        return std::nullopt;
    std::uniform_int_distribution<Duration::rep> jitter(0, Backoff::maxDelay(m_settings.backoff, attempts).count());
    // A start with less jitter that still meets the deadline is better than no retry.
    return std::min(earliest + Duration(jitter(random)), latest);
}

} // namespace Auburnpost::Limit
