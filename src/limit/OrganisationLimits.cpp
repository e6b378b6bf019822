#include "limit/OrganisationLimits.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Limit {

OrganisationLimits::OrganisationLimits(OrganisationLimitsSettings settings)
    : m_settings(settings)
{
}

bool OrganisationLimits::tryAdmit(Instant now, const OrganisationName& name)
{
    removeInactive(now);
    auto& usage = m_usage[name];
    usage.lastSeen = now;
    const auto unlimitedUpTo = m_settings.freeShare * static_cast<double>(m_settings.capacity);
    const bool isCrowded = static_cast<double>(m_total) >= unlimitedUpTo;
    if (m_total >= m_settings.capacity || (isCrowded && usage.inFlight >= fairShare()))
        return false;
    ++usage.inFlight;
    ++m_total;
    return true;
}

void OrganisationLimits::recordFinished(const OrganisationName& name)
{
    auto& usage = m_usage[name];
    AUBURNPOST_INVARIANT(usage.inFlight > 0, "a request ended that was not admitted");
    --usage.inFlight;
    --m_total;
}

std::size_t OrganisationLimits::inFlight(const OrganisationName& name) const
{
    const auto found = m_usage.find(name);
    return found == m_usage.end() ? 0 : found->second.inFlight;
}

std::size_t OrganisationLimits::fairShare() const
{
    return std::max<std::size_t>(1, m_settings.capacity / std::max<std::size_t>(1, m_usage.size()));
}

void OrganisationLimits::removeInactive(Instant now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + m_settings.activeWindow / 2;
    std::erase_if(m_usage, [&](const auto& item) {
        return !item.second.inFlight && now - item.second.lastSeen > m_settings.activeWindow;
    });
}

} // namespace Auburnpost::Limit
