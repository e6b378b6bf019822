#include "proxy/GroupWatcher.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Proxy {

// A primary that is not used counts as missing for as long as one that is not there.
static_assert(ReplacementGuard::overdueTimeout == GroupWatcher::missingTimeout);

namespace {

    /// @return whether the list is recent enough to show that members change. A host that can't read the store goes on
    /// with the list that it has.
    bool isListCurrent(Instant now, const TableOrigin& origin)
    {
        return !origin.confirmedAt || now - *origin.confirmedAt < ReplacementGuard::successorTimeout;
    }

} // namespace

std::string_view toString(FailoverReason failoverReason)
{
    constexpr std::string_view texts[] { "none", "missing", "down", "blocked", "leaving", "doubted" };
    return texts[static_cast<std::size_t>(failoverReason)];
}

void GroupWatcher::setMembers(Instant now, const std::vector<TargetRecord>& records)
{
    // Time in which the group was not watched, or had no members, does not count as time without a primary.
    if (m_membership.listedCount() == 0)
        m_primaryMissingSince.reset();
    recordDepartures(now, records);
    auto released = m_membership.setListed(now, records);
    m_released.insert(m_released.end(), released.begin(), released.end());
    const auto* const primary = m_primary ? find(*m_primary) : nullptr;
    if (m_primary && (!primary || !primary->isListed() || !primary->status))
        losePrimary(now);
    if (m_primary)
        m_primaryMissingSince.reset();
    else if (!m_primaryMissingSince)
        m_primaryMissingSince = now;
    updateFencedSince(now);
}

void GroupWatcher::recordDepartures(Instant now, const std::vector<TargetRecord>& records)
{
    for (const auto& [name, member] : members()) {
        const auto listed = std::find_if(
            records.begin(), records.end(), [&name = name](const TargetRecord& record) { return record.name == name; });
        const bool isGone = listed == records.end();
        if (!member.isListed() || (!isGone && listed->incarnation == member.record.incarnation))
            continue;
        auto kind = isGone ? MemberHistory::DepartureKind::Lapsed : MemberHistory::DepartureKind::Restarted;
        if (isGone && member.record.isLeaving)
            kind = MemberHistory::DepartureKind::Left;
        m_history.recordDeparture(now, { name, kind, now, member.status, member.queriedAt });
    }
}

void GroupWatcher::stopWatching()
{
    m_membership.clear();
    m_primary.reset();
    m_guard = {};
    m_logClosure.clear();
    m_primaryMissingSince.reset();
    m_fencedSince.reset();
}

std::vector<MemberRelease> GroupWatcher::releaseMembers(Instant now)
{
    const auto released = m_membership.releaseMembers(now, m_primary ? find(*m_primary) : nullptr);
    m_released.insert(m_released.end(), released.begin(), released.end());
    if (m_primary && !find(*m_primary)) {
        losePrimary(now);
        m_primaryMissingSince = now;
    }
    if (!released.empty())
        updateFencedSince(now);
    return std::exchange(m_released, {});
}

void GroupWatcher::losePrimary(Instant now)
{
    m_primary.reset();
    m_guard.raise(now, PrimaryDoubt::ContactLost);
}

void GroupWatcher::checkPrimary(Instant now)
{
    const auto* const primary = m_primary ? find(*m_primary) : nullptr;
    if (primary && primary->health.isDown(now))
        m_guard.raise(now, PrimaryDoubt::ContactLost);
    m_guard.tick(now);
}

bool GroupWatcher::recordStatus(Instant now, const TargetName& name, Instant queriedAt, const TargetStatus& status)
{
    auto* const found = m_membership.find(name);
    if (!found)
        return false;
    auto& member = *found;
    if (member.status && queriedAt < member.queriedAt)
        return false;
    updateBehindSince(now, member, queriedAt, status);
    member.status = status;
    member.queriedAt = queriedAt;
    m_logClosure.record(now, name, status);
    m_highestTerm = std::max({ m_highestTerm, status.term, status.fencedTerm });
    const bool isLatestPrimary = status.isPrimary && status.term >= m_primaryTerm && member.isListed();
    const bool isNew = isLatestPrimary && m_primary != name;
    if (isLatestPrimary) {
        m_primary = name;
        m_primaryTerm = status.term;
        m_history.recordPrimary({ name, status.term, status.received, queriedAt });
        m_primaryMissingSince.reset();
        m_guard.recordPrimary(now, { name, member.record.incarnation, status.term });
    } else if (m_primary == name && !status.isPrimary) {
        losePrimary(now);
        m_primaryMissingSince = now;
    }
    if (status.isFenced() && !status.isPrimary)
        m_guard.recordFence(now, status.fencedTerm);
    updateFencedSince(now);
    if (m_primary && !hasSignOfReplacement())
        m_guard.recordNoReplacement(now);
    confirmPrimary();
    return isNew;
}

void GroupWatcher::updateBehindSince(Instant now, Member& member, Instant queriedAt, const TargetStatus& status)
{
    const auto* const primary = m_primary ? find(*m_primary) : nullptr;
    if (!primary || primary == &member || !primary->status || primary->queriedAt >= queriedAt)
        return;
    const bool hasMoved = !member.status || member.status->received != status.received;
    if (status.received >= primary->status->received)
        member.behindSince.reset();
    else if (hasMoved || !member.behindSince)
        member.behindSince = now;
}

void GroupWatcher::recordApplied(Instant now, const TargetName& name, const LogPoint& applied)
{
    auto* const member = m_membership.find(name);
    if (!member)
        return;
    member->applied = applied;
    member->appliedCheckedAt = now;
}

void GroupWatcher::recordReadAttempt(Instant now, const TargetName& name, const LogPoint& wanted)
{
    auto* const member = m_membership.find(name);
    if (member && member->applied && *member->applied < wanted)
        member->appliedCheckedAt = now;
}

void GroupWatcher::recordWriteRefusal(const TargetName& name)
{
    if (m_primary != name)
        return;
    m_primaryMissingSince = m_membership.members().at(name).health.lastResponseAt();
    losePrimary(m_primaryMissingSince.value_or(Instant {}));
}

bool GroupWatcher::hasSignOfReplacement() const
{
    return std::any_of(members().begin(), members().end(), [this](const auto& entry) {
        const auto& [name, member] = entry;
        if (!member.status)
            return member.isListed();
        return member.status->isFenced() || member.status->term > m_primaryTerm
            || (member.status->isPrimary && name != m_primary);
    });
}

TargetHealth* GroupWatcher::health(const TargetName& name)
{
    auto* const member = m_membership.find(name);
    return member ? &member->health : nullptr;
}

TargetLoad* GroupWatcher::load(const TargetName& name)
{
    auto* const member = m_membership.find(name);
    return member ? &member->load : nullptr;
}

void GroupWatcher::confirmPrimary()
{
    // A primary that is being replaced and a member that the replacement does not know could confirm each other.
    if (!m_primary || !m_guard.allows(*m_primary))
        return;
    const auto& primary = m_membership.members().at(*m_primary);
    if (!primary.status || !primary.status->isPrimary || primary.status->isFenced())
        return;
    const auto othersAsOf = unreplacedAsOf();
    if (!othersAsOf)
        return;
    m_confirmations.add(
        std::min(primary.queriedAt, *othersAsOf), *m_primary, primary.status->received, ConfirmationSource::Members);
}

std::optional<Instant> GroupWatcher::unreplacedAsOf() const
{
    if (!m_primary)
        return {};
    std::vector<Instant> confirmedAt;
    for (const auto& [name, member] : members()) {
        if (showsNoReplacement(name, member))
            confirmedAt.push_back(member.queriedAt);
    }
    const auto needed = confirmationsNeeded();
    if (confirmedAt.size() < needed)
        return {};
    std::sort(confirmedAt.rbegin(), confirmedAt.rend());
    return needed > 0 ? confirmedAt[needed - 1] : Instant::max();
}

bool GroupWatcher::showsNoReplacement(const TargetName& name, const Member& member) const
{
    return name != m_primary && member.status && !member.status->isFenced() && !member.status->isPrimary
        && member.status->term <= m_primaryTerm;
}

bool GroupWatcher::canMembersConfirm(Instant now) const
{
    const auto available = std::count_if(members().begin(), members().end(), [this, now](const auto& entry) {
        const auto& [name, member] = entry;
        return showsNoReplacement(name, member) && !member.presumedEndedAt && !member.health.isSuspect(now);
    });
    return static_cast<std::size_t>(available) >= confirmationsNeeded();
}

void GroupWatcher::recordCommit(Instant now, const TargetName& name, Instant sentAt, const LogPoint& end)
{
    if (m_primary == name)
        m_history.recordPrimary({ name, m_primaryTerm, end, sentAt });
    // The replicas that acknowledged the commit had not joined another primary. In a larger group another primary could
    // still have enough other replicas.
    if (m_primary == name && end.term == m_primaryTerm)
        m_commitSentAt = std::max(m_commitSentAt.value_or(sentAt), sentAt);
    const bool isConfirmation = m_rules.syncReplicas > 0 && m_membership.size() < 2 * (m_rules.syncReplicas + 1)
        && m_membership.isSettled(now) && isListCurrent(now, m_listOrigin);
    if (isConfirmation && m_guard.allows(name) && m_primary == name && end.term == m_primaryTerm)
        m_confirmations.add(sentAt, name, end, ConfirmationSource::Commit);
}

FailoverReason GroupWatcher::failoverReason(Instant now) const
{
    if (!m_primary) {
        const bool isOverdue = m_primaryMissingSince && now - *m_primaryMissingSince >= missingTimeout;
        const bool isMissing = isOverdue && m_membership.listedCount() > 0 && !hasResponsiveReportedPrimary(now);
        return isMissing ? FailoverReason::Missing : FailoverReason::None;
    }
    const auto& primary = m_membership.members().at(*m_primary);
    if (primary.health.isDown(now))
        return hasResponsiveReportedPrimary(now) ? FailoverReason::None : FailoverReason::Down;
    if (primary.record.isLeaving && hasCaughtUpReplica(now))
        return FailoverReason::Leaving;
    if (m_guard.isOverdue(now))
        return FailoverReason::Doubted;
    return isBlocked(now, primary) ? FailoverReason::Blocked : FailoverReason::None;
}

bool GroupWatcher::hasResponsiveReportedPrimary(Instant now) const
{
    // A primary at its connection limit may refuse this host's connections and still serve other hosts.
    return std::any_of(members().begin(), members().end(), [now](const auto& entry) {
        const auto& member = entry.second;
        const bool isReportNewerThanStatus = member.isListed() && member.reportsPrimarySince
            && (!member.status || member.queriedAt < *member.reportsPrimarySince);
        return isReportNewerThanStatus && member.health.lastResponseAt() && !member.health.isDown(now);
    });
}

bool GroupWatcher::hasCaughtUpReplica(Instant now) const
{
    return std::any_of(members().begin(), members().end(), [this, now](const auto& entry) {
        const auto& member = entry.second;
        return entry.first != m_primary && member.isListed() && !member.record.isLeaving && member.status
            && !member.status->isPrimary && !member.behindSince && !member.health.isDown(now);
    });
}

bool GroupWatcher::isBlocked(Instant now, const Member& primary) const
{
    if (!primary.status || m_rules.syncReplicas == 0)
        return false;
    // A replica that this host does not know may acknowledge commits.
    if (m_commitSentAt && now - *m_commitSentAt < blockedTimeout)
        return false;
    std::size_t behind = 0;
    std::size_t responsive = 0;
    for (const auto& [name, member] : members()) {
        if (name == *m_primary || !member.status || member.health.isDown(now))
            continue;
        ++responsive;
        const bool isStalled = member.behindSince && now - *member.behindSince >= blockedTimeout;
        if (isStalled && !member.status->isFenced())
            ++behind;
    }
    return responsive >= fencesNeeded() && behind == responsive;
}

bool GroupWatcher::seesFences(Instant now) const
{
    // Nobody can promote a member whose process is down.
    const bool hasCandidate = std::any_of(members().begin(), members().end(), [this](const auto& entry) {
        return entry.first != m_primary && !entry.second.presumedEndedAt && !entry.second.health.isRefusing();
    });
    // A replacement leaves fewer members unfenced besides the primary than there are synchronous replicas.
    return !hasCandidate || visibleMembers(now) >= std::max<std::size_t>(1, m_rules.syncReplicas);
}

std::size_t GroupWatcher::visibleMembers(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(members().begin(), members().end(), [this, now](const auto& entry) {
        const auto& [name, member] = entry;
        const bool isRunning = !member.presumedEndedAt && !member.health.isRefusing();
        return name != m_primary && isRunning && member.isListed() && member.status
            && GroupMembership::isEstablished(now, member) && !member.health.isSuspect(now);
    }));
}

bool GroupWatcher::isDurable(Instant now, const TargetName& primary, const LogPoint& end) const
{
    const auto needed = m_rules.syncReplicas;
    // The target may have been replaced and lead again since.
    if (end.term != m_primaryTerm)
        return false;
    if (needed == 0 || (m_membership.isSettled(now) && isListCurrent(now, m_listOrigin)))
        return true;
    if (visibleMembers(now) >= needed)
        return m_membership.countHolders(now, primary, end) >= needed;
    // Members that are silent may have the commit, those that are down can't have acknowledged it.
    const auto mayRun = std::count_if(members().begin(), members().end(), [&primary](const auto& entry) {
        return entry.first != primary && !entry.second.presumedEndedAt && !entry.second.health.isRefusing();
    });
    return static_cast<std::size_t>(mayRun) >= needed;
}

bool GroupWatcher::hasFencedMemberFor(Instant now, Duration limit) const
{
    return m_fencedSince && now - *m_fencedSince >= limit;
}

void GroupWatcher::updateFencedSince(Instant now)
{
    const bool isFenced = std::any_of(members().begin(), members().end(),
        [](const auto& entry) { return entry.second.status && entry.second.status->isFenced(); });
    if (!isFenced) {
        m_fencedSince.reset();
        m_guard.recordNoFence();
    } else if (!m_fencedSince)
        m_fencedSince = now;
}

void GroupWatcher::discountPause(Instant now)
{
    for (auto& [name, member] : m_membership.members()) {
        member.health.discountPause(now);
        member.behindSince.reset();
    }
    if (m_primaryMissingSince)
        m_primaryMissingSince = now;
    if (m_fencedSince)
        m_fencedSince = now;
    m_guard.raise(now, PrimaryDoubt::Paused);
}

} // namespace Auburnpost::Proxy
