#include "proxy/PrimaryConfirmations.h"

#include <algorithm>

namespace Auburnpost::Proxy {

std::string_view toString(ConfirmationSource source)
{
    constexpr std::string_view texts[] { "members", "commit", "row" };
    return texts[static_cast<std::size_t>(source)];
}

void PrimaryConfirmations::add(
    Instant requestedAt, const TargetName& primary, const LogPoint& primaryEnd, ConfirmationSource source)
{
    if (!m_samples.empty() && m_samples.back().requestedAt >= requestedAt)
        return;
    m_samples.push_back({ requestedAt, primary, primaryEnd, source });
    while (m_samples.front().requestedAt + sampleLifetime < requestedAt)
        m_samples.pop_front();
}

bool PrimaryConfirmations::covers(Instant arrival, const TargetName& primary) const
{
    if (m_samples.empty())
        return false;
    const auto& last = m_samples.back();
    return last.primary == primary && last.requestedAt >= arrival;
}

std::optional<LogPoint> PrimaryConfirmations::logPointAt(Instant moment) const
{
    const auto found = std::lower_bound(m_samples.begin(), m_samples.end(), moment,
        [](const Sample& sample, Instant wanted) { return sample.requestedAt < wanted; });
    if (found == m_samples.end())
        return {};
    return found->end;
}

std::optional<Instant> PrimaryConfirmations::newestRequestedAt() const
{
    if (m_samples.empty())
        return {};
    return m_samples.back().requestedAt;
}

std::optional<ConfirmationSource> PrimaryConfirmations::newestSource() const
{
    if (m_samples.empty())
        return {};
    return m_samples.back().source;
}

} // namespace Auburnpost::Proxy
