#include "proxy/GroupWatcher.h"

#include <algorithm>

namespace Auburnpost::Proxy {

std::string_view toString(FailoverReason failoverReason)
{
    constexpr std::string_view texts[] { "none", "missing", "down", "blocked", "leaving" };
    return texts[static_cast<std::size_t>(failoverReason)];
}

void GroupWatcher::setMembers(Instant now, const std::vector<TargetRecord>& records)
{
    recordAddresses(now);
    Members next;
    for (const auto& record : records) {
        const auto known = m_members.find(record.name);
        auto& member = next[record.name];
        if (known != m_members.end() && known->second.record.incarnation == record.incarnation)
            member = known->second;
        member.record = record;
        if (!record.reportsPrimary)
            member.reportsPrimarySince.reset();
        else if (!member.reportsPrimarySince)
            member.reportsPrimarySince = now;
        if (!record.isLeaving)
            member.leavingSince.reset();
        else if (!member.leavingSince)
            member.leavingSince = now;
    }
    // Time in which the group was not watched, or had no members, does not count as time without a primary.
    if (m_members.empty())
        m_primaryMissingSince.reset();
    recordDepartures(now, next);
    m_members = std::move(next);
    if (m_primary && !m_members.contains(*m_primary))
        m_primary.reset();
    if (m_primary && !m_members.at(*m_primary).status)
        m_primary.reset();
    if (m_primary)
        m_primaryMissingSince.reset();
    else if (!m_primaryMissingSince)
        m_primaryMissingSince = now;
    updateAddresses(now);
    updateFencedSince(now);
}

void GroupWatcher::recordDepartures(Instant now, const Members& next)
{
    // Without any member the group is no longer watched.
    if (next.empty())
        return;
    for (const auto& [name, member] : m_members) {
        const auto listed = next.find(name);
        if (listed != next.end() && listed->second.record.incarnation == member.record.incarnation)
            continue;
        auto kind
            = listed == next.end() ? MemberHistory::DepartureKind::Lapsed : MemberHistory::DepartureKind::Restarted;
        if (listed == next.end() && member.record.isLeaving)
            kind = MemberHistory::DepartureKind::Left;
        m_history.recordDeparture(now, { name, kind, now, member.status, member.queriedAt });
    }
}

void GroupWatcher::recordAddresses(Instant now)
{
    for (const auto& [name, member] : m_members) {
        auto& address = m_addresses[member.record.address];
        address.listedAt = now;
        address.mayHaveLog = address.mayHaveLog || member.health.lastResponseAt();
        if (member.record.isLeaving)
            m_addresses.erase(member.record.address);
    }
}

void GroupWatcher::updateAddresses(Instant now)
{
    const bool isFirstList = m_addresses.empty();
    std::set<SocketAddress> listed;
    for (const auto& [name, member] : m_members) {
        listed.insert(member.record.address);
        auto& address = m_addresses[member.record.address];
        address.listedAt = now;
        address.mayHaveLog = address.mayHaveLog || isFirstList;
    }
    std::erase_if(m_addresses, [now, &listed](const auto& entry) {
        const auto& [address, state] = entry;
        return !listed.contains(address) && (!state.mayHaveLog || state.listedAt + membershipRetention < now);
    });
}

bool GroupWatcher::recordStatus(Instant now, const TargetName& name, Instant queriedAt, const TargetStatus& status)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return false;
    auto& member = found->second;
    if (member.status && queriedAt < member.queriedAt)
        return false;
    updateBehindSince(now, member, queriedAt, status);
    member.status = status;
    member.queriedAt = queriedAt;
    m_highestTerm = std::max({ m_highestTerm, status.term, status.fencedTerm });
    const bool isLatestPrimary = status.isPrimary && status.term >= m_primaryTerm;
    const bool isNew = isLatestPrimary && m_primary != name;
    if (isLatestPrimary) {
        m_primary = name;
        m_primaryTerm = status.term;
        m_history.recordPrimary({ name, status.term, status.received, queriedAt });
        m_primaryMissingSince.reset();
    } else if (m_primary == name && !status.isPrimary) {
        m_primary.reset();
        m_primaryMissingSince = now;
    }
    updateFencedSince(now);
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
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    found->second.applied = applied;
    found->second.appliedCheckedAt = now;
}

void GroupWatcher::recordReadAttempt(Instant now, const TargetName& name, const LogPoint& wanted)
{
    const auto found = m_members.find(name);
    if (found != m_members.end() && found->second.applied && *found->second.applied < wanted)
        found->second.appliedCheckedAt = now;
}

void GroupWatcher::recordWriteRefusal(const TargetName& name)
{
    if (m_primary != name)
        return;
    m_primary.reset();
    m_primaryMissingSince = m_members.at(name).health.lastResponseAt();
}

TargetHealth* GroupWatcher::health(const TargetName& name)
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second.health;
}

const GroupWatcher::Member* GroupWatcher::find(const TargetName& name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

void GroupWatcher::confirmFencedLogEnd()
{
    std::vector<const Member*> fenced;
    for (const auto& [name, member] : m_members) {
        const bool isFenced = member.status && member.status->isFenced() && !member.status->isPrimary;
        if (isFenced && member.status->term <= m_primaryTerm)
            fenced.push_back(&member);
    }
    const auto needed = fencesNeeded();
    if (m_rules.syncReplicas == 0 || fenced.size() < needed)
        return;
    std::sort(fenced.begin(), fenced.end(),
        [](const Member* left, const Member* right) { return left->queriedAt > right->queriedAt; });
    LogPoint end;
    for (std::size_t index = 0; index < needed; ++index)
        end = std::max(end, fenced[index]->status->received);
    m_confirmations.add(fenced[needed - 1]->queriedAt, {}, end);
}

void GroupWatcher::confirmPrimary()
{
    confirmFencedLogEnd();
    if (!m_primary)
        return;
    const auto& primary = m_members.at(*m_primary);
    if (!primary.status || !primary.status->isPrimary || primary.status->isFenced())
        return;
    std::vector<Instant> confirmedAt;
    for (const auto& [name, member] : m_members) {
        if (name == *m_primary || !member.status || member.status->isFenced())
            continue;
        if (member.status->term <= m_primaryTerm && !member.status->isPrimary)
            confirmedAt.push_back(member.queriedAt);
    }
    const auto needed = confirmationsNeeded();
    if (confirmedAt.size() < needed)
        return;
    auto requestedAt = primary.queriedAt;
    if (needed > 0) {
        std::sort(confirmedAt.rbegin(), confirmedAt.rend());
        requestedAt = std::min(requestedAt, confirmedAt[needed - 1]);
    }
    m_confirmations.add(requestedAt, *m_primary, primary.status->received);
}

std::size_t GroupWatcher::confirmationsNeeded() const
{
    // Together with the primary these members intersect every set that a promotion must fence, and every set that a new
    // primary needs to acknowledge a commit. The second matters because a member that was resumed after a promotion
    // reports neither a fence nor the new term until it joins the new primary.
    const auto size = groupSize();
    const auto quorum = m_rules.syncReplicas + 1;
    return std::max(size - std::min(size, fencesNeeded()), size > quorum ? size - quorum : 0);
}

void GroupWatcher::recordCommit(const TargetName& name, Instant sentAt, const LogPoint& end)
{
    if (m_primary == name)
        m_history.recordPrimary({ name, m_primaryTerm, end, sentAt });
    // The replicas that acknowledged the commit had not joined another primary. In a larger group another primary could
    // still have enough other replicas.
    const bool isConfirmation = m_rules.syncReplicas > 0 && groupSize() < 2 * (m_rules.syncReplicas + 1);
    if (isConfirmation && m_primary == name && end.term == m_primaryTerm)
        m_confirmations.add(sentAt, name, end);
}

std::size_t GroupWatcher::groupSize() const
{
    return m_addresses.size();
}

std::vector<SocketAddress> GroupWatcher::unlistedAddresses() const
{
    std::vector<SocketAddress> unlisted;
    for (const auto& [address, state] : m_addresses) {
        const bool isListed = std::any_of(m_members.begin(), m_members.end(),
            [&address = address](const auto& entry) { return entry.second.record.address == address; });
        if (!isListed)
            unlisted.push_back(address);
    }
    return unlisted;
}

std::size_t GroupWatcher::fencesNeeded() const
{
    const auto size = groupSize();
    const auto sync = m_rules.syncReplicas;
    // Without synchronous replicas no subset of the replicas is certain to have every commit, so all but the primary
    // are fenced.
    if (sync == 0)
        return size > 1 ? size - 1 : size;
    return std::max(size > sync ? size - sync : 1, std::min(sync + 1, size));
}

FailoverReason GroupWatcher::failoverReason(Instant now) const
{
    if (!m_primary) {
        const bool isOverdue = m_primaryMissingSince && now - *m_primaryMissingSince >= missingTimeout;
        return isOverdue && !m_members.empty() && !hasResponsiveReportedPrimary(now) ? FailoverReason::Missing
                                                                                     : FailoverReason::None;
    }
    const auto& primary = m_members.at(*m_primary);
    if (primary.health.isDown(now))
        return hasResponsiveReportedPrimary(now) ? FailoverReason::None : FailoverReason::Down;
    if (primary.record.isLeaving)
        return FailoverReason::Leaving;
    return isBlocked(now, primary) ? FailoverReason::Blocked : FailoverReason::None;
}

bool GroupWatcher::hasResponsiveReportedPrimary(Instant now) const
{
    // A primary at its connection limit may refuse this host's connections and still serve other hosts.
    return std::any_of(m_members.begin(), m_members.end(), [now](const auto& entry) {
        const auto& member = entry.second;
        const bool isReportNewerThanStatus
            = member.reportsPrimarySince && (!member.status || member.queriedAt < *member.reportsPrimarySince);
        return isReportNewerThanStatus && member.health.lastResponseAt() && !member.health.isDown(now);
    });
}

bool GroupWatcher::isBlocked(Instant now, const Member& primary) const
{
    if (!primary.status || m_rules.syncReplicas == 0)
        return false;
    std::size_t behind = 0;
    std::size_t responsive = 0;
    for (const auto& [name, member] : m_members) {
        if (name == *m_primary || !member.status || member.health.isDown(now))
            continue;
        ++responsive;
        const bool isStalled = member.behindSince && now - *member.behindSince >= blockedTimeout;
        if (isStalled && !member.status->isFenced())
            ++behind;
    }
    return responsive >= fencesNeeded() && behind == responsive;
}

bool GroupWatcher::hasFencedMemberFor(Instant now, Duration limit) const
{
    return m_fencedSince && now - *m_fencedSince >= limit;
}

void GroupWatcher::updateFencedSince(Instant now)
{
    const bool isFenced = std::any_of(m_members.begin(), m_members.end(),
        [](const auto& entry) { return entry.second.status && entry.second.status->isFenced(); });
    if (!isFenced)
        m_fencedSince.reset();
    else if (!m_fencedSince)
        m_fencedSince = now;
}

void GroupWatcher::discountPause(Instant now)
{
    for (auto& [name, member] : m_members) {
        member.health.discountPause(now);
        member.behindSince.reset();
    }
    if (m_primaryMissingSince)
        m_primaryMissingSince = now;
    if (m_fencedSince)
        m_fencedSince = now;
}

} // namespace Auburnpost::Proxy
