#include "limit/Cooldown.h"

#include <algorithm>

namespace Auburnpost::Limit {

void Cooldown::recordRefusal(Instant now, std::optional<Duration> retryAfter, RandomEngine& random)
{
    // Requests in flight at the same time are refused together; they count as one refusal.
    const auto backoff = isOver(now) ? m_backoff.recordFailure(random) : Duration {};
    m_until = std::max(m_until, now + std::max(backoff, retryAfter.value_or(Duration {})));
}

} // namespace Auburnpost::Limit
