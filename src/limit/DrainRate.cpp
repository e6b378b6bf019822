#include "limit/DrainRate.h"

namespace Auburnpost::Limit {

void DrainRate::recordBacklog(Instant now)
{
    if (m_spanStartedAt)
        return;
    m_spanStartedAt = now;
    m_started = 0;
}

void DrainRate::recordStart(Instant now)
{
    if (!m_spanStartedAt)
        return;
    ++m_started;
    const auto span = now - *m_spanStartedAt;
    if (span < minSpan || m_started < minStarts)
        return;
    constexpr double newestWeight = 0.4;
    const double measured = static_cast<double>(m_started) / std::chrono::duration<double>(span).count();
    const bool hasOld = perSecond(now).has_value();
    m_perSecond = hasOld ? m_perSecond + newestWeight * (measured - m_perSecond) : measured;
    m_measuredAt = now;
    m_spanStartedAt = now;
    m_started = 0;
}

std::optional<double> DrainRate::perSecond(Instant now) const
{
    if (!m_measuredAt || now - *m_measuredAt > maxAge)
        return {};
    return m_perSecond;
}

} // namespace Auburnpost::Limit
