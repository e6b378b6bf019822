#include "group/FailoverTrigger.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    constexpr unsigned maxBackoffDoublings = 6;

    Duration randomUpTo(RandomEngine& random, Duration limit)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(random));
    }

} // namespace

FailoverTrigger::FailoverTrigger(const GroupSettings& settings)
    : m_settings(&settings)
{
}

bool FailoverTrigger::shouldStart(
    Instant now, RandomEngine& random, const VoteTable& votes, const MemberTable& members, const Failover& failover)
{
    recordOtherAttempt(now, std::max(members.highestTerm(), votes.highestTerm()), members.primaryTerm(), failover);
    recordFailures(now, random, failover.failuresInRow());
    if (!votes.isWatcher() || !votes.majoritySuspects(now)) {
        m_suspectedSince.reset();
        return false;
    }
    if (!m_suspectedSince) {
        m_suspectedSince = now;
        m_jitter = randomUpTo(random, m_settings->rankSpacing / 3);
    }
    const auto suspectingCount = static_cast<int>(votes.suspectingAhead(now));
    const auto startDelay = suspectingCount == 0 ? Duration {} : m_settings->rankSpacing * suspectingCount + m_jitter;
    return failover.isIdle() && now >= *m_suspectedSince + startDelay && now >= m_graceUntil && now >= m_backoffUntil;
}

void FailoverTrigger::recordOtherAttempt(Instant now, Term highest, Term knownPrimaryTerm, const Failover& failover)
{
    if (highest <= m_highestTerm)
        return;
    m_highestTerm = highest;
    if (m_highestTerm > failover.attemptTerm() && m_highestTerm > knownPrimaryTerm)
        m_graceUntil = now + m_settings->attemptGrace;
}

void FailoverTrigger::recordFailures(Instant now, RandomEngine& random, unsigned failuresInRow)
{
    if (failuresInRow > m_failuresSeen) {
        const auto doubled = m_settings->backoffBase * (1U << std::min(failuresInRow - 1, maxBackoffDoublings));
        const auto meanBackoff = std::min<Duration>(doubled, m_settings->backoffLimit);
        m_backoffUntil = now + meanBackoff / 2 + randomUpTo(random, meanBackoff);
    }
    m_failuresSeen = failuresInRow;
}

} // namespace Auburnpost::Group
