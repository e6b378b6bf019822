#include "group/AttemptTrigger.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    constexpr unsigned backoffDoublings = 6;

    Duration draw(RandomEngine& random, Duration limit)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(random));
    }

} // namespace

AttemptTrigger::AttemptTrigger(const GroupSettings& settings)
    : m_settings(&settings)
{
}

bool AttemptTrigger::due(
    Instant now, RandomEngine& random, const VoteTable& votes, const MemberTable& members, const Takeover& takeover)
{
    noteOtherAttempt(now, std::max(members.highestTerm(), votes.highestTerm()), members.primaryTerm(), takeover);
    noteFailure(now, random, takeover.failuresInRow());
    if (!votes.isWatcher() || !votes.majoritySuspects(now)) {
        m_suspectedSince.reset();
        return false;
    }
    if (!m_suspectedSince) {
        m_suspectedSince = now;
        m_jitter = draw(random, m_settings->rankSpacing / 3);
    }
    const auto ahead = static_cast<int>(votes.suspectingAhead(now));
    const auto wait = ahead == 0 ? Duration {} : m_settings->rankSpacing * ahead + m_jitter;
    return takeover.isIdle() && now >= *m_suspectedSince + wait && now >= m_graceUntil && now >= m_backoffUntil;
}

void AttemptTrigger::noteOtherAttempt(Instant now, Term highest, Term ofPrimary, const Takeover& takeover)
{
    if (highest <= m_highestTerm)
        return;
    m_highestTerm = highest;
    if (m_highestTerm > takeover.attemptTerm() && m_highestTerm > ofPrimary)
        m_graceUntil = now + m_settings->attemptGrace;
}

void AttemptTrigger::noteFailure(Instant now, RandomEngine& random, unsigned failuresInRow)
{
    if (failuresInRow > m_failuresSeen) {
        const auto doubled = m_settings->backoffBase * (1U << std::min(failuresInRow - 1, backoffDoublings));
        const auto limit = std::min<Duration>(doubled, m_settings->backoffLimit);
        m_backoffUntil = now + limit / 2 + draw(random, limit);
    }
    m_failuresSeen = failuresInRow;
}

} // namespace Auburnpost::Group
