#include "group/AgeTracker.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    constexpr std::size_t sampleLimit = 512;
    constexpr std::size_t termLimit = 8;

} // namespace

void AgeTracker::recordPrimaryEnd(Instant sentAt, const LogPoint& end)
{
    if (!m_samples.empty() && end < m_samples.back().end)
        return;
    if (!m_samples.empty() && end == m_samples.back().end) {
        m_samples.back().sentAt = std::max(m_samples.back().sentAt, sentAt);
        return;
    }
    m_samples.push_back({ end, sentAt });
    if (m_samples.size() > sampleLimit)
        thinOut();
}

void AgeTracker::thinOut()
{
    // Removes every second sample of the older half. A missing sample can only raise a stated age, never lower it.
    std::deque<Sample> kept;
    for (std::size_t index = 0; index < m_samples.size(); ++index) {
        if (index >= m_samples.size() / 2 || index % 2 == 0)
            kept.push_back(m_samples[index]);
    }
    m_samples = std::move(kept);
}

void AgeTracker::confirmTerm(Term term, Instant moment)
{
    auto& latest = m_confirmedAt.try_emplace(term, moment).first->second;
    latest = std::max(latest, moment);
    if (m_confirmedAt.size() > termLimit)
        m_confirmedAt.erase(m_confirmedAt.begin());
}

std::optional<Duration> AgeTracker::ageOf(Instant now, const LogPoint& end) const
{
    // Ends are ordered by term first, and a log that ends in a later term holds all entries that a majority held in
    // earlier terms.
    auto sample = std::upper_bound(m_samples.begin(), m_samples.end(), end,
        [](const LogPoint& point, const Sample& each) { return point < each.end; });
    std::optional<Duration> lowestAge;
    while (sample != m_samples.begin()) {
        --sample;
        const auto confirmed = m_confirmedAt.find(sample->end.term);
        if (confirmed == m_confirmedAt.end())
            continue;
        const auto age = now - std::min(sample->sentAt, confirmed->second);
        if (!lowestAge || age < *lowestAge)
            lowestAge = age;
        // Earlier samples cannot give a lower age once the confirmation does not cut this sample short.
        if (confirmed->second >= sample->sentAt)
            break;
    }
    return lowestAge;
}

} // namespace Auburnpost::Group
