#include "proxy/TargetHealth.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Divisor of the newest round trip's weight in the moving average.
    constexpr int roundTripShare = 4;

} // namespace

void TargetHealth::recordRequest(Instant now)
{
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

void TargetHealth::recordConnectAttempt(Instant now)
{
    if (!m_connectingSince)
        m_connectingSince = now;
}

void TargetHealth::recordResponse(Instant now, std::optional<Duration> roundTrip)
{
    m_lastResponseAt = now;
    m_unansweredSince.reset();
    m_connectingSince.reset();
    m_refusals = 0;
    if (roundTrip)
        m_roundTrip
            = m_roundTrip == Duration {} ? *roundTrip : m_roundTrip + (*roundTrip - m_roundTrip) / roundTripShare;
}

void TargetHealth::recordRefusal(Instant now)
{
    ++m_refusals;
    m_connectingSince.reset();
    recordRequest(now);
}

void TargetHealth::discountPause(Instant now)
{
    if (m_unansweredSince)
        m_unansweredSince = now;
    if (m_connectingSince)
        m_connectingSince = now;
}

bool TargetHealth::isSuspect(Instant now) const
{
    return isRefusing() || (m_unansweredSince && now - *m_unansweredSince >= suspectTimeout + m_roundTrip);
}

bool TargetHealth::isUnresponsive(Instant now) const
{
    return m_unansweredSince && now - *m_unansweredSince >= unresponsiveTimeout && m_connectingSince
        && now - *m_connectingSince >= connectTimeout;
}

bool TargetHealth::needsConnectProbe(Instant now) const
{
    return isSuspect(now) && !m_connectingSince;
}

} // namespace Auburnpost::Proxy
