#include "proxy/ReplacementGuard.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    std::uint64_t milliseconds(Duration duration)
    {
        return static_cast<std::uint64_t>(toMilliseconds(duration));
    }

    /// @return whether the row shows that the primary of the term may be replaced.
    bool showsReplacement(
        const PromotionLeaseRow& row, bool isOwn, const std::optional<PendingPromotion>& own, Term term)
    {
        if (!row.lease)
            return false;
        const auto& lease = *row.lease;
        // The members are recorded again after each promotion, with the term of the new primary.
        if (lease.members && lease.members->term > term)
            return true;
        // A host of an earlier version does not write which term its lease is for.
        const bool isForTerm = !lease.replacedTerm || *lease.replacedTerm >= term;
        if (!isOwn && isForTerm && lease.expiresAtMs > row.storeNowMs)
            return true;
        const auto& pending = isOwn ? own : lease.pending;
        return pending && pending->replacedTerm >= term
            && row.storeNowMs < pending->recordedAtMs + milliseconds(ReplacementGuard::replacementTimeout);
    }

} // namespace

std::string_view toString(PrimaryDoubt doubt)
{
    constexpr std::string_view texts[] { "none", "started", "paused", "contact_lost", "other_target", "fenced",
        "isolated" };
    return texts[static_cast<std::size_t>(doubt)];
}

std::string_view toString(DoubtResolution resolution)
{
    constexpr std::string_view texts[] { "successor", "row", "members", "time" };
    return texts[static_cast<std::size_t>(resolution)];
}

void ReplacementGuard::raise(Instant now, PrimaryDoubt doubt)
{
    // After a pause nothing is known of the time since the doubt was raised either.
    if (m_doubt == PrimaryDoubt::None || doubt == PrimaryDoubt::Paused) {
        m_doubt = doubt;
        m_doubtedSince = now;
        m_isRowUnreadable = false;
        m_replacementSeenAt.reset();
    }
    m_nextReadAt.reset();
    m_reportedAt.reset();
}

bool ReplacementGuard::mayFollow(Instant now, const ReportedPrimary& successor) const
{
    const bool hasWatched = m_doubt != PrimaryDoubt::Started && m_doubt != PrimaryDoubt::Paused;
    const auto usedUntil = m_doubt == PrimaryDoubt::None ? now : m_doubtedSince;
    return hasWatched && m_primary && successor.term > m_primary->term && now - usedUntil < successorTimeout;
}

void ReplacementGuard::recordPrimary(Instant now, const ReportedPrimary& primary)
{
    if (m_primary != primary) {
        const bool isSuccessor = mayFollow(now, primary);
        if (!isSuccessor)
            raise(now, PrimaryDoubt::OtherTarget);
        m_primary = primary;
        if (isSuccessor && m_doubt != PrimaryDoubt::None)
            resolve(now, DoubtResolution::Successor, now);
    }
    if (m_doubt == PrimaryDoubt::None || m_reportedAt)
        return;
    m_reportedAt = now;
    if (m_doubt == PrimaryDoubt::Started && m_isFirstStart)
        m_nextReadAt = now + firstStartDelay;
}

void ReplacementGuard::recordNoReplacement(Instant now)
{
    if (m_doubt == PrimaryDoubt::Started && m_isFirstStart && m_reportedAt)
        resolve(now, DoubtResolution::Members, now);
}

void ReplacementGuard::recordFence(Instant now, Term fencedTerm)
{
    if (fencedTerm > m_fenceTerm) {
        m_fenceTerm = fencedTerm;
        m_fenceSeenAt = now;
    }
    if (m_doubt != PrimaryDoubt::None || !m_primary || fencedTerm <= m_primary->term || fencedTerm <= m_explainedFence)
        return;
    raise(now, PrimaryDoubt::Fenced);
    m_reportedAt = now;
}

void ReplacementGuard::recordIsolation(Instant now)
{
    if (m_doubt != PrimaryDoubt::None || !m_primary)
        return;
    raise(now, PrimaryDoubt::Isolated);
    m_reportedAt = now;
}

bool ReplacementGuard::isFenceUnexplained() const
{
    return m_primary && m_fenceTerm > m_primary->term && m_fenceTerm > m_explainedFence;
}

void ReplacementGuard::recordUnreplaced(
    Instant now, Instant sentAt, const PromotionLeaseRow& row, bool isOwn, const std::optional<PendingPromotion>& own)
{
    if (!m_primary || now < m_rowUnknownUntil || showsReplacement(row, isOwn, own, m_primary->term))
        return;
    // A call that had no effect within replacementTimeout may still have it.
    const auto& pending = isOwn || !row.lease ? own : row.lease->pending;
    if (pending && pending->replacedTerm >= m_primary->term)
        return;
    m_unreplacedByRowAsOf = sentAt;
    m_unreplacedTerm = m_primary->term;
}

void ReplacementGuard::recordRow(
    Instant now, Instant sentAt, const PromotionLeaseRow& row, bool isOwn, const std::optional<PendingPromotion>& own)
{
    recordUnreplaced(now, sentAt, row, isOwn, own);
    if (m_doubt == PrimaryDoubt::None || !m_reportedAt || sentAt < *m_reportedAt)
        return;
    m_isRowUnreadable = false;
    if (now < m_rowUnknownUntil) {
        m_nextReadAt = m_rowUnknownUntil;
        return;
    }
    if (showsReplacement(row, isOwn, own, m_primary->term)) {
        m_replacementSeenAt = now;
        m_nextReadAt = now + recheckInterval;
        return;
    }
    m_replacementSeenAt.reset();
    if (isFenceUnexplained() && m_fenceSeenAt > sentAt) {
        // The fence may belong to a lease that was taken after the read.
        m_nextReadAt = now;
        return;
    }
    m_explainedFence = std::max(m_explainedFence, m_fenceTerm);
    resolve(now, DoubtResolution::Row, sentAt);
}

void ReplacementGuard::recordUnreadableRow(Instant now)
{
    m_isRowUnreadable = true;
    m_nextReadAt = now + retryInterval;
}

void ReplacementGuard::tick(Instant now)
{
    if (m_doubt == PrimaryDoubt::None || !m_reportedAt || !m_isRowUnreadable)
        return;
    const auto limit = isFenceUnexplained() ? replacementTimeout : unreadableTimeout;
    const bool isReplacementOver = !m_replacementSeenAt || now - *m_replacementSeenAt >= replacementTimeout;
    if (now - *m_reportedAt >= limit && isReplacementOver) {
        m_explainedFence = std::max(m_explainedFence, m_fenceTerm);
        resolve(now, DoubtResolution::Time, now);
    }
}

void ReplacementGuard::resolve(Instant now, DoubtResolution resolution, Instant asOf)
{
    m_clearAsOf = asOf;
    const auto since = m_doubt == PrimaryDoubt::Started ? m_reportedAt.value_or(now) : m_doubtedSince;
    m_resolved = Resolved { *m_primary, m_doubt, resolution, now - since };
    m_doubt = PrimaryDoubt::None;
    m_reportedAt.reset();
    m_nextReadAt.reset();
    m_replacementSeenAt.reset();
    m_isRowUnreadable = false;
}

bool ReplacementGuard::allows(const TargetName& name) const
{
    return m_doubt == PrimaryDoubt::None && m_primary && m_primary->name == name;
}

bool ReplacementGuard::isReadDue(Instant now) const
{
    return doubt() != PrimaryDoubt::None && (!m_nextReadAt || now >= *m_nextReadAt);
}

bool ReplacementGuard::isOverdue(Instant now) const
{
    return doubt() != PrimaryDoubt::None && now - *m_reportedAt >= overdueTimeout;
}

} // namespace Auburnpost::Proxy
