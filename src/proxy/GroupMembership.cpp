#include "proxy/GroupMembership.h"
#include "proxy/ReplacementGuard.h"

#include <algorithm>
#include <set>

namespace Auburnpost::Proxy {

std::string_view toString(MemberReleaseReason reason)
{
    constexpr std::string_view texts[] { "logs_caught_up", "never_answered", "superseded", "given_up" };
    return texts[static_cast<std::size_t>(reason)];
}

std::vector<MemberRelease> GroupMembership::setListed(Instant now, const std::vector<TargetRecord>& records)
{
    const bool isFirstList = m_members.empty();
    GroupMembers next;
    for (const auto& record : records) {
        if (isSuperseded(record))
            continue;
        const auto known = m_members.find(record.name);
        m_releasedAt.erase({ record.name, record.incarnation });
        auto& member = next[record.name];
        if (known != m_members.end() && known->second.record.incarnation == record.incarnation)
            member = known->second;
        else
            member.listedSince = now;
        member.record = record;
        member.unlistedSince.reset();
        member.presumedEndedAt.reset();
        member.requiredEnd.reset();
        member.isInitial = member.isInitial || isFirstList;
        if (!record.reportsPrimary)
            member.reportsPrimarySince.reset();
        else if (!member.reportsPrimarySince)
            member.reportsPrimarySince = now;
        if (!record.isLeaving)
            member.leavingSince.reset();
        else if (!member.leavingSince)
            member.leavingSince = now;
    }
    std::vector<MemberRelease> released;
    for (auto& [name, member] : m_members) {
        if (next.contains(name))
            continue;
        if (isSuperseded(member.record)) {
            released.push_back({ name, MemberReleaseReason::Superseded });
        } else if (!member.mayHaveLog()) {
            released.push_back({ name, MemberReleaseReason::NeverAnswered });
        } else {
            if (!member.unlistedSince)
                member.unlistedSince = now;
            next.emplace(name, std::move(member));
        }
    }
    rememberReleases(now, released);
    m_members = std::move(next);
    return released;
}

std::vector<TargetName> GroupMembership::addRecorded(Instant now, const GroupName& group, const MemberRecord& record)
{
    std::vector<TargetName> added;
    for (const auto& recorded : record.members) {
        if (auto* const known = find(recorded.name)) {
            // Another host has seen it answer.
            if (known->record.incarnation == recorded.incarnation)
                known->isInitial = true;
            continue;
        }
        TargetRecord target;
        target.name = recorded.name;
        target.group = group;
        target.address = recorded.address;
        target.incarnation = recorded.incarnation;
        const auto releasedAt = m_releasedAt.find({ recorded.name, recorded.incarnation });
        const bool wasReleased = releasedAt != m_releasedAt.end() && now - releasedAt->second < releaseMemory;
        if (wasReleased || isSuperseded(target))
            continue;
        auto& member = m_members[recorded.name];
        member.record = std::move(target);
        member.isInitial = true;
        member.unlistedSince = now;
        added.push_back(recorded.name);
    }
    return added;
}

void GroupMembership::rememberReleases(Instant now, const std::vector<MemberRelease>& released)
{
    std::erase_if(m_releasedAt, [now](const auto& entry) { return now - entry.second >= releaseMemory; });
    for (const auto& release : released) {
        // Another host may know that it answered.
        if (release.reason == MemberReleaseReason::NeverAnswered)
            continue;
        if (const auto* const member = find(release.name))
            m_releasedAt[{ release.name, member->record.incarnation }] = now;
    }
}

bool GroupMembership::isSuperseded(const TargetRecord& record) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&record](const auto& entry) {
        const auto& other = entry.second;
        return other.record.address == record.address && record.incarnation < other.record.incarnation
            && other.isListed() && other.status;
    });
}

std::vector<MemberRelease> GroupMembership::releaseMembers(Instant now, const GroupMember* primary)
{
    std::vector<MemberRelease> released;
    for (auto& [name, member] : m_members) {
        if (isSuperseded(member.record)) {
            released.push_back({ name, MemberReleaseReason::Superseded });
            continue;
        }
        if (member.isListed())
            continue;
        if (const auto reason = releaseReason(now, member, primary))
            released.push_back({ name, *reason });
    }
    rememberReleases(now, released);
    for (const auto& release : released)
        m_members.erase(release.name);
    return released;
}

std::optional<MemberReleaseReason> GroupMembership::releaseReason(
    Instant now, GroupMember& member, const GroupMember* primary) const
{
    const auto lastResponse = member.health.lastResponseAt();
    const auto silentSince = std::max(*member.unlistedSince, lastResponse.value_or(*member.unlistedSince));
    const auto timeout = member.record.isLeaving ? leavingSilenceTimeout : silenceTimeout;
    const bool hasEnded = member.health.hasRefused() || now - silentSince >= timeout;
    if (!hasEnded) {
        // It answers, or may still receive and acknowledge commits.
        member.presumedEndedAt.reset();
        member.requiredEnd.reset();
        return {};
    }
    if (!member.presumedEndedAt)
        member.presumedEndedAt = now;
    if (primary && !member.requiredEnd && primary->queriedAt >= *member.presumedEndedAt)
        member.requiredEnd = primary->status->received;
    if (primary && member.requiredEnd && isHeldByListed(*member.requiredEnd, *primary))
        return MemberReleaseReason::LogsCaughtUp;
    // A primary that answers has the whole log, so nothing is given up while there is one.
    const bool hasPrimary = primary && !primary->health.isDown(now);
    if (!hasPrimary && now - silentSince >= retentionLimit)
        return MemberReleaseReason::GivenUp;
    return {};
}

bool GroupMembership::isHeldByListed(const LogPoint& end, const GroupMember& primary) const
{
    const auto holders = std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const auto& member = entry.second;
        return &member != &primary && member.isListed() && member.status && !member.status->isPrimary
            && member.status->received >= end;
    });
    return static_cast<std::size_t>(holders) >= m_rules.syncReplicas;
}

const GroupMember* GroupMembership::find(const TargetName& name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

GroupMember* GroupMembership::find(const TargetName& name)
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::size_t GroupMembership::size() const
{
    std::set<SocketAddress> addresses;
    for (const auto& [name, member] : m_members)
        addresses.insert(member.record.address);
    return addresses.size();
}

std::size_t GroupMembership::runningCount() const
{
    std::set<SocketAddress> addresses;
    for (const auto& [name, member] : m_members) {
        if (!member.presumedEndedAt)
            addresses.insert(member.record.address);
    }
    return addresses.size();
}

std::size_t GroupMembership::listedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [](const auto& entry) { return entry.second.isListed(); }));
}

std::size_t GroupMembership::fencesNeeded() const
{
    const auto count = size();
    const auto sync = m_rules.syncReplicas;
    // Without synchronous replicas no subset of the replicas is certain to have every commit, so all but the primary
    // are fenced.
    if (sync == 0)
        return count > 1 ? count - 1 : count;
    return std::max(count > sync ? count - sync : 1, std::min(sync + 1, count));
}

std::size_t GroupMembership::confirmationsNeeded() const
{
    // Together with the primary these members intersect every set that a promotion must fence, and every set that a new
    // primary needs to acknowledge a commit. The second matters because a member that was resumed after a promotion
    // reports neither a fence nor the new term until it joins the new primary. A member that has ended does neither.
    const auto count = size();
    const auto running = runningCount();
    const auto quorum = m_rules.syncReplicas + 1;
    return std::max(count - std::min(count, fencesNeeded()), running > quorum ? running - quorum : 0);
}

bool GroupMembership::isEstablished(Instant now, const GroupMember& member)
{
    return member.isInitial || now - member.listedSince >= ReplacementGuard::successorTimeout;
}

bool GroupMembership::isSettled(Instant now) const
{
    return std::all_of(m_members.begin(), m_members.end(), [now](const auto& entry) {
        const auto& member = entry.second;
        return member.isListed() && !member.record.isLeaving && isEstablished(now, member)
            && !member.health.hasRefused() && !member.health.isSuspect(now);
    });
}

std::size_t GroupMembership::countHolders(Instant now, const TargetName& primary, const LogPoint& end) const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const auto& [name, member] = entry;
        // After a promotion the positions of another term say nothing of this commit.
        return name != primary && member.isListed() && isEstablished(now, member) && member.status
            && !member.status->isPrimary && member.status->received.term == end.term && member.status->received >= end;
    }));
}

bool GroupMembership::awaitsEvidence(Instant now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [now](const auto& entry) {
        const auto& member = entry.second;
        return !member.isListed() && member.presumedEndedAt && now - *member.presumedEndedAt < urgentTime;
    });
}

} // namespace Auburnpost::Proxy
