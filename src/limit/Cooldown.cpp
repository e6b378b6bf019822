#include "limit/Cooldown.h"

#include <algorithm>

namespace Auburnpost::Limit {

void Cooldown::refused(Instant now, std::optional<Duration> retryAfter, RandomEngine& random)
{
    // Requests that were in flight together are refused together and count once.
    const auto jitter = isOver(now) ? m_backoff.fail(random) : Duration {};
    m_until = std::max(m_until, now + std::max(jitter, retryAfter.value_or(Duration {})));
}

} // namespace Auburnpost::Limit
