#include "limit/ConcurrencyLimit.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Limit {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitSettings settings)
    : m_settings(settings)
    , m_limit(std::clamp(settings.initial, settings.minimum, settings.maximum))
{
}

double ConcurrencyLimit::initialFor(std::size_t slots, std::size_t homes)
{
    const auto share = static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(1, homes));
    return std::max(1.0, share);
}

bool ConcurrencyLimit::tryAcquire()
{
    if (m_inFlight >= limit())
        return false;
    ++m_inFlight;
    m_windowMaxInFlight = std::max(m_windowMaxInFlight, m_inFlight);
    return true;
}

void ConcurrencyLimit::release(Instant now, Duration latency, Completion completion)
{
    AUBURNPOST_INVARIANT(m_inFlight > 0, "released a request that was not in flight");
    --m_inFlight;
    if (completion == Completion::Refused)
        m_windowRefused = true;
    if (completion == Completion::Answered) {
        m_windowLowestLatency = m_windowAnswers ? std::min(m_windowLowestLatency, latency) : latency;
        m_windowLatencySum += latency;
        ++m_windowAnswers;
    }
    if (now - m_windowStart >= m_settings.window && (m_windowAnswers || m_windowRefused))
        endWindow(now);
}

std::size_t ConcurrencyLimit::limit() const
{
    const auto limit
        = m_isMeasuringBaseline ? std::max(m_settings.minimum, m_limit / m_settings.baselineDivisor) : m_limit;
    return static_cast<std::size_t>(limit);
}

void ConcurrencyLimit::endWindow(Instant now)
{
    if (m_isMeasuringBaseline) {
        m_baseline = m_windowAnswers ? m_windowLowestLatency : m_baseline;
        m_isMeasuringBaseline = false;
        m_windowsSinceBaseline = 0;
    } else {
        adapt();
        m_isMeasuringBaseline = ++m_windowsSinceBaseline >= m_settings.windowsPerBaseline;
    }
    m_windowStart = now;
    m_windowLatencySum = {};
    m_windowAnswers = 0;
    m_windowRefused = false;
    m_windowMaxInFlight = m_inFlight;
}

void ConcurrencyLimit::adapt()
{
    bool isSlow = false;
    if (m_windowAnswers) {
        m_baseline = m_baseline.count() ? std::min(m_windowLowestLatency, m_baseline) : m_windowLowestLatency;
        const auto mean = m_windowLatencySum / static_cast<Duration::rep>(m_windowAnswers);
        isSlow = mean > m_baseline * m_settings.tolerance;
    }
    if (isSlow || m_windowRefused)
        m_limit *= m_settings.decrease;
    else if (static_cast<double>(m_windowMaxInFlight) >= m_limit * m_settings.usedShare)
        m_limit += 1;
    m_limit = std::clamp(m_limit, m_settings.minimum, m_settings.maximum);
}

} // namespace Auburnpost::Limit
