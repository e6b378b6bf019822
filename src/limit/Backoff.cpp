#include "limit/Backoff.h"

#include <algorithm>

namespace Auburnpost::Limit {

namespace {
    /// Doublings beyond this have no effect and would overflow.
    constexpr std::uint32_t doublingLimit = 30;
} // namespace

Duration Backoff::maxDelay(const BackoffSettings& settings, std::uint32_t failures)
{
    const auto doublings = std::min(failures - std::min(failures, 1U), doublingLimit);
    return std::min(settings.maximum, settings.base * (std::int64_t(1) << doublings));
}

Duration Backoff::recordFailure(RandomEngine& random)
{
    m_failures = std::min(m_failures + 1, doublingLimit);
    std::uniform_int_distribution<Duration::rep> jitter(0, maxDelay(m_settings, m_failures).count());
    return Duration(jitter(random));
}

} // namespace Auburnpost::Limit
