#include "proxy/GroupWatcher.h"

#include <algorithm>

namespace Auburnpost::Proxy {

std::string_view toString(PrimaryTrouble trouble)
{
    constexpr std::string_view texts[] { "none", "missing", "down", "blocked", "leaving" };
    return texts[static_cast<std::size_t>(trouble)];
}

void GroupWatcher::setMembers(Instant now, const std::vector<TargetRecord>& records)
{
    for (const auto& [name, member] : m_members) {
        if (member.record.isLeaving)
            m_addresses.erase(member.record.address);
        else
            m_addresses[member.record.address] = now;
    }
    Members next;
    for (const auto& record : records) {
        const auto known = m_members.find(record.name);
        auto& member = next[record.name];
        if (known != m_members.end() && known->second.record.incarnation == record.incarnation)
            member = known->second;
        member.record = record;
        if (!record.claimsPrimary)
            member.claimsSince.reset();
        else if (!member.claimsSince)
            member.claimsSince = now;
        if (!record.isLeaving)
            member.leavingSince.reset();
        else if (!member.leavingSince)
            member.leavingSince = now;
    }
    // A group that was not watched, or had no members, has not been without a primary for long.
    if (m_members.empty())
        m_primaryMissingSince.reset();
    m_members = std::move(next);
    if (m_primary && !m_members.contains(*m_primary))
        m_primary.reset();
    if (m_primary && !m_members.at(*m_primary).standing)
        m_primary.reset();
    if (m_primary)
        m_primaryMissingSince.reset();
    else if (!m_primaryMissingSince)
        m_primaryMissingSince = now;
    noteAddresses(now);
    noteFences(now);
}

void GroupWatcher::noteAddresses(Instant now)
{
    for (const auto& [name, member] : m_members)
        m_addresses[member.record.address] = now;
    std::erase_if(m_addresses, [now](const auto& entry) { return entry.second + membershipMemory < now; });
}

bool GroupWatcher::record(Instant now, const TargetName& name, Instant askedAt, const TargetStanding& standing)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return false;
    auto& member = found->second;
    if (member.standing && askedAt < member.askedAt)
        return false;
    noteProgress(now, member, askedAt, standing);
    member.standing = standing;
    member.askedAt = askedAt;
    m_highestTerm = std::max({ m_highestTerm, standing.term, standing.fencedTerm });
    const bool leads = standing.isPrimary && standing.term >= m_primaryTerm;
    const bool isNew = leads && m_primary != name;
    if (leads) {
        m_primary = name;
        m_primaryTerm = standing.term;
        m_primaryMissingSince.reset();
    } else if (m_primary == name && !standing.isPrimary) {
        m_primary.reset();
        m_primaryMissingSince = now;
    }
    noteFences(now);
    prove();
    return isNew;
}

void GroupWatcher::noteProgress(Instant now, Member& member, Instant askedAt, const TargetStanding& standing)
{
    const auto* const primary = m_primary ? find(*m_primary) : nullptr;
    if (!primary || primary == &member || !primary->standing || primary->askedAt >= askedAt)
        return;
    const bool hasMoved = !member.standing || member.standing->received != standing.received;
    if (standing.received >= primary->standing->received)
        member.behindSince.reset();
    else if (hasMoved || !member.behindSince)
        member.behindSince = now;
}

void GroupWatcher::noteApplied(Instant now, const TargetName& name, const LogPoint& applied)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    found->second.applied = applied;
    found->second.appliedAt = now;
}

void GroupWatcher::noteTried(Instant now, const TargetName& name, const LogPoint& wanted)
{
    const auto found = m_members.find(name);
    if (found != m_members.end() && found->second.applied && *found->second.applied < wanted)
        found->second.appliedAt = now;
}

void GroupWatcher::refusedAsReplica(const TargetName& name)
{
    if (m_primary != name)
        return;
    m_primary.reset();
    m_primaryMissingSince = m_members.at(name).health.lastHeard();
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

void GroupWatcher::proveFenced()
{
    std::vector<const Member*> fenced;
    for (const auto& [name, member] : m_members) {
        const bool isFenced = member.standing && member.standing->isFenced() && !member.standing->isPrimary;
        if (isFenced && member.standing->term <= m_primaryTerm)
            fenced.push_back(&member);
    }
    const auto needed = fencesNeeded();
    if (m_rules.syncReplicas == 0 || fenced.size() < needed)
        return;
    std::sort(fenced.begin(), fenced.end(),
        [](const Member* left, const Member* right) { return left->askedAt > right->askedAt; });
    LogPoint end;
    for (std::size_t index = 0; index < needed; ++index)
        end = std::max(end, fenced[index]->standing->received);
    m_proofs.add(fenced[needed - 1]->askedAt, {}, end);
}

void GroupWatcher::prove()
{
    proveFenced();
    if (!m_primary)
        return;
    const auto& primary = m_members.at(*m_primary);
    if (!primary.standing || !primary.standing->isPrimary || primary.standing->isFenced())
        return;
    std::vector<Instant> witnesses;
    for (const auto& [name, member] : m_members) {
        if (name == *m_primary || !member.standing || member.standing->isFenced())
            continue;
        if (member.standing->term <= m_primaryTerm && !member.standing->isPrimary)
            witnesses.push_back(member.askedAt);
    }
    const auto needed = witnessesNeeded();
    if (witnesses.size() < needed)
        return;
    auto provenAt = primary.askedAt;
    if (needed > 0) {
        std::sort(witnesses.rbegin(), witnesses.rend());
        provenAt = std::min(provenAt, witnesses[needed - 1]);
    }
    m_proofs.add(provenAt, *m_primary, primary.standing->received);
}

std::size_t GroupWatcher::witnessesNeeded() const
{
    // Together with the primary they meet every set that a promotion must fence, and every set that a new primary needs
    // to acknowledge a commit: a member that was resumed after a promotion looks like a witness until it joins.
    const auto size = groupSize();
    const auto quorum = m_rules.syncReplicas + 1;
    return std::max(size - std::min(size, fencesNeeded()), size > quorum ? size - quorum : 0);
}

void GroupWatcher::committed(const TargetName& name, Instant askedAt, const LogPoint& end)
{
    // The commit's replicas had not joined another primary; in a larger group that would leave it enough others.
    const bool provesAll = m_rules.syncReplicas > 0 && groupSize() < 2 * (m_rules.syncReplicas + 1);
    if (provesAll && m_primary == name && end.term == m_primaryTerm)
        m_proofs.add(askedAt, name, end);
}

std::size_t GroupWatcher::groupSize() const
{
    return m_addresses.size();
}

std::size_t GroupWatcher::fencesNeeded() const
{
    const auto size = groupSize();
    const auto sync = m_rules.syncReplicas;
    // Without synchronous replicas no set of replicas is sure to hold every commit: all but the primary are fenced.
    if (sync == 0)
        return size > 1 ? size - 1 : size;
    return std::max(size > sync ? size - sync : 1, std::min(sync + 1, size));
}

PrimaryTrouble GroupWatcher::trouble(Instant now) const
{
    if (!m_primary) {
        const bool isLong = m_primaryMissingSince && now - *m_primaryMissingSince >= missingLimit;
        return isLong && !m_members.empty() && !hasLivingClaimant(now) ? PrimaryTrouble::Missing : PrimaryTrouble::None;
    }
    const auto& primary = m_members.at(*m_primary);
    if (primary.health.isDown(now))
        return hasLivingClaimant(now) ? PrimaryTrouble::None : PrimaryTrouble::Down;
    if (primary.record.isLeaving)
        return PrimaryTrouble::Leaving;
    return isBlocked(now, primary) ? PrimaryTrouble::Blocked : PrimaryTrouble::None;
}

bool GroupWatcher::hasLivingClaimant(Instant now) const
{
    // A primary may refuse this host's connections for lack of room, and still serve all others.
    return std::any_of(m_members.begin(), m_members.end(), [now](const auto& entry) {
        const auto& member = entry.second;
        const bool isUndenied = member.claimsSince && (!member.standing || member.askedAt < *member.claimsSince);
        return isUndenied && member.health.lastHeard() && !member.health.isDown(now);
    });
}

bool GroupWatcher::isBlocked(Instant now, const Member& primary) const
{
    if (!primary.standing || m_rules.syncReplicas == 0)
        return false;
    std::size_t behind = 0;
    std::size_t answering = 0;
    for (const auto& [name, member] : m_members) {
        if (name == *m_primary || !member.standing || member.health.isDown(now))
            continue;
        ++answering;
        const bool isStalled = member.behindSince && now - *member.behindSince >= blockedLimit;
        if (isStalled && !member.standing->isFenced())
            ++behind;
    }
    return answering >= fencesNeeded() && behind == answering;
}

bool GroupWatcher::isFencedSince(Instant now, Duration limit) const
{
    return m_fencedSince && now - *m_fencedSince >= limit;
}

void GroupWatcher::noteFences(Instant now)
{
    const bool isFenced = std::any_of(m_members.begin(), m_members.end(),
        [](const auto& entry) { return entry.second.standing && entry.second.standing->isFenced(); });
    if (!isFenced)
        m_fencedSince.reset();
    else if (!m_fencedSince)
        m_fencedSince = now;
}

void GroupWatcher::forgiveSilence(Instant now)
{
    for (auto& [name, member] : m_members) {
        member.health.forgiveSilence(now);
        member.behindSince.reset();
    }
    if (m_primaryMissingSince)
        m_primaryMissingSince = now;
    if (m_fencedSince)
        m_fencedSince = now;
}

} // namespace Auburnpost::Proxy
