#include "proxy/ReadProofs.h"

#include <algorithm>

namespace Auburnpost::Proxy {

void ReadProofs::add(Instant askedAt, const TargetName& primary, const LogPoint& primaryEnd)
{
    if (!m_samples.empty() && m_samples.back().askedAt >= askedAt)
        return;
    m_samples.push_back({ askedAt, primary, primaryEnd });
    while (m_samples.front().askedAt + sampleLifetime < askedAt)
        m_samples.pop_front();
}

bool ReadProofs::covers(Instant arrival, const TargetName& primary) const
{
    if (m_samples.empty())
        return false;
    const auto& last = m_samples.back();
    return last.primary == primary && last.askedAt >= arrival;
}

std::optional<LogPoint> ReadProofs::pointAt(Instant moment) const
{
    const auto found = std::lower_bound(m_samples.begin(), m_samples.end(), moment,
        [](const Sample& sample, Instant wanted) { return sample.askedAt < wanted; });
    if (found == m_samples.end())
        return {};
    return found->end;
}

std::optional<Instant> ReadProofs::newest() const
{
    if (m_samples.empty())
        return {};
    return m_samples.back().askedAt;
}

} // namespace Auburnpost::Proxy
