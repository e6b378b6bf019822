#include "proxy/TargetHealth.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Weight of the newest round trip in the running mean.
    constexpr int roundTripShare = 4;

} // namespace

void TargetHealth::asked(Instant now)
{
    if (!m_askedAt)
        m_askedAt = now;
}

void TargetHealth::connecting(Instant now)
{
    if (!m_connectingAt)
        m_connectingAt = now;
}

void TargetHealth::heard(Instant now, std::optional<Duration> roundTrip)
{
    m_heardAt = now;
    m_askedAt.reset();
    m_connectingAt.reset();
    m_refusals = 0;
    if (roundTrip)
        m_roundTrip
            = m_roundTrip == Duration {} ? *roundTrip : m_roundTrip + (*roundTrip - m_roundTrip) / roundTripShare;
}

void TargetHealth::refused(Instant now)
{
    ++m_refusals;
    m_connectingAt.reset();
    asked(now);
}

void TargetHealth::forgiveSilence(Instant now)
{
    if (m_askedAt)
        m_askedAt = now;
    if (m_connectingAt)
        m_connectingAt = now;
}

bool TargetHealth::isDoubtful(Instant now) const
{
    return isRefusing() || (m_askedAt && now - *m_askedAt >= doubtLimit + m_roundTrip);
}

bool TargetHealth::isSilent(Instant now) const
{
    return m_askedAt && now - *m_askedAt >= silenceLimit && m_connectingAt && now - *m_connectingAt >= connectLimit;
}

bool TargetHealth::needsFreshConnect(Instant now) const
{
    return isDoubtful(now) && !m_connectingAt;
}

} // namespace Auburnpost::Proxy
