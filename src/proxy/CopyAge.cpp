#include "proxy/CopyAge.h"

#include <algorithm>

namespace Auburnpost::Proxy {

std::optional<Duration> CopyAge::observe(Instant now, std::optional<Instant> confirmedAt, Duration limit)
{
    if (!confirmedAt)
        return {};
    const auto age = now - *confirmedAt;
    m_largest = std::max(m_largest, age);
    if (age <= limit || m_reportedFor == confirmedAt)
        return {};
    m_reportedFor = confirmedAt;
    return age;
}

} // namespace Auburnpost::Proxy
