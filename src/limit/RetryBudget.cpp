#include "limit/RetryBudget.h"

#include <algorithm>

namespace Auburnpost::Limit {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_tokens(std::min(1.0, settings.capacity))
{
}

void RetryBudget::recordRequest(Instant now)
{
    refill(now);
    m_tokens = std::min(m_settings.capacity, m_tokens + m_settings.ratio);
}

bool RetryBudget::tryRetry(Instant now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void RetryBudget::refill(Instant now)
{
    const std::chrono::duration<double> elapsed = now - m_filledAt;
    m_filledAt = now;
    m_tokens = std::min(m_settings.capacity, m_tokens + elapsed.count() * m_settings.floorPerSecond);
}

} // namespace Auburnpost::Limit
