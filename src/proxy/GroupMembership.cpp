#include "proxy/GroupMembership.h"

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
    std::set<SocketAddress> addresses;
    for (const auto& record : records) {
        const auto known = m_members.find(record.name);
        auto& member = next[record.name];
        if (known != m_members.end() && known->second.record.incarnation == record.incarnation)
            member = known->second;
        member.record = record;
        member.unlistedSince.reset();
        member.endedAt.reset();
        member.lastDependentEnd.reset();
        member.isInitial = member.isInitial || isFirstList;
        if (!record.reportsPrimary)
            member.reportsPrimarySince.reset();
        else if (!member.reportsPrimarySince)
            member.reportsPrimarySince = now;
        if (!record.isLeaving)
            member.leavingSince.reset();
        else if (!member.leavingSince)
            member.leavingSince = now;
        addresses.insert(record.address);
    }
    std::vector<MemberRelease> released;
    for (auto& [name, member] : m_members) {
        if (next.contains(name))
            continue;
        if (addresses.contains(member.record.address)) {
            released.push_back({ name, MemberReleaseReason::Superseded });
        } else if (!member.mayHaveLog()) {
            released.push_back({ name, MemberReleaseReason::NeverAnswered });
        } else {
            if (!member.unlistedSince)
                member.unlistedSince = now;
            next.emplace(name, std::move(member));
        }
    }
    m_members = std::move(next);
    return released;
}

std::vector<MemberRelease> GroupMembership::releaseUnlisted(Instant now, const GroupMember* primary)
{
    std::vector<MemberRelease> released;
    for (auto& [name, member] : m_members) {
        if (member.isListed())
            continue;
        if (const auto reason = releaseReason(now, member, primary))
            released.push_back({ name, *reason });
    }
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
        member.endedAt.reset();
        member.lastDependentEnd.reset();
        return {};
    }
    if (!member.endedAt)
        member.endedAt = now;
    if (primary && !member.lastDependentEnd && primary->queriedAt >= *member.endedAt)
        member.lastDependentEnd = primary->status->received;
    if (primary && member.lastDependentEnd && isHeldByListed(*member.lastDependentEnd, *primary))
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
        if (!member.endedAt)
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

bool GroupMembership::awaitsEvidence() const
{
    return std::any_of(m_members.begin(), m_members.end(),
        [](const auto& entry) { return !entry.second.isListed() && entry.second.endedAt; });
}

} // namespace Auburnpost::Proxy
