#include "proxy/MemberHistory.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Auburnpost::Proxy {

std::string_view toString(MemberHistory::DepartureKind kind)
{
    constexpr std::string_view texts[] { "left", "lapsed", "restarted" };
    return texts[static_cast<std::size_t>(kind)];
}

void MemberHistory::recordDeparture(Instant now, Departure departure)
{
    departure.at = now;
    if (m_departures.size() >= maxDepartures)
        m_departures.erase(m_departures.begin());
    m_departures.push_back(std::move(departure));
}

void MemberHistory::recordPrimary(const PrimaryLog& log)
{
    const bool isOlder = m_primaryLog && std::tie(log.term, log.end) < std::tie(m_primaryLog->term, m_primaryLog->end);
    if (!isOlder)
        m_primaryLog = log;
}

std::vector<MemberHistory::Departure> MemberHistory::departures(Instant now) const
{
    std::vector<Departure> recent;
    std::copy_if(m_departures.begin(), m_departures.end(), std::back_inserter(recent),
        [now](const Departure& departure) { return now - departure.at < retention; });
    return recent;
}

} // namespace Auburnpost::Proxy
