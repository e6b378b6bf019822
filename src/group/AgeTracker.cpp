#include "group/AgeTracker.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    constexpr std::size_t sampleLimit = 512;
    constexpr std::size_t termLimit = 8;

} // namespace

void AgeTracker::samplePrimary(Instant sentAt, const LogPoint& end)
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
    // Every second sample of the older half goes; a missing one makes ages larger, never smaller.
    std::deque<Sample> kept;
    for (std::size_t index = 0; index < m_samples.size(); ++index) {
        if (index >= m_samples.size() / 2 || index % 2 == 0)
            kept.push_back(m_samples[index]);
    }
    m_samples = std::move(kept);
}

void AgeTracker::notReplaced(Term term, Instant moment)
{
    auto& latest = m_notReplaced.try_emplace(term, moment).first->second;
    latest = std::max(latest, moment);
    if (m_notReplaced.size() > termLimit)
        m_notReplaced.erase(m_notReplaced.begin());
}

std::optional<Duration> AgeTracker::ageOf(Instant now, const LogPoint& end) const
{
    // Ends are ordered by term first, and a log that ends in a later term holds all that counted in earlier ones.
    auto sample = std::upper_bound(m_samples.begin(), m_samples.end(), end,
        [](const LogPoint& point, const Sample& each) { return point < each.end; });
    std::optional<Duration> youngest;
    while (sample != m_samples.begin()) {
        --sample;
        const auto proof = m_notReplaced.find(sample->end.term);
        if (proof == m_notReplaced.end())
            continue;
        const auto age = now - std::min(sample->sentAt, proof->second);
        if (!youngest || age < *youngest)
            youngest = age;
        // Nothing earlier is younger, once the proof does not cut the sample short.
        if (proof->second >= sample->sentAt)
            break;
    }
    return youngest;
}

} // namespace Auburnpost::Group
