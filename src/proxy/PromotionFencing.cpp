#include "proxy/Promotion.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Auburnpost::Proxy {

std::set<TargetName> Promotion::fencedMembers(const GroupWatcher& watcher) const
{
    std::set<TargetName> names;
    for (const auto& [name, member] : watcher.members()) {
        if (member.status && !member.status->isPrimary && member.status->fencedTerm == m_term)
            names.insert(name);
    }
    return names;
}

std::set<TargetName> Promotion::endedMembers(const GroupWatcher& watcher) const
{
    std::set<TargetName> names;
    if (!isClosureProven(watcher))
        return names;
    for (const auto& [name, member] : watcher.members()) {
        // A fence shows nothing of a member that has ended, as another target may run at its address.
        if (member.presumedEndedAt && member.status && !member.status->isPrimary)
            names.insert(name);
    }
    return names;
}

bool Promotion::isClosureProven(const GroupWatcher& watcher) const
{
    const auto closed = watcher.logClosure().term();
    if (!closed)
        return false;
    const auto& lease = m_leaseRow.lease;
    if (!lease)
        return m_leaseRow.version == RowVersion {};
    if (!lease->members || lease->members->term > *closed)
        return false;
    if (!lease->unresolvedTerm || *lease->unresolvedTerm >= *closed)
        return false;
    return !lease->pending || lease->pending->replacedTerm < *closed || isPendingDisproved(watcher, *closed);
}

bool Promotion::isPendingDisproved(const GroupWatcher& watcher, Term closed) const
{
    // Had the candidate led, it would report the term that it led.
    const auto* const candidate = watcher.find(m_leaseRow.lease->pending->candidate);
    return candidate && candidate->status && candidate->queriedAt >= m_leaseReadAt && candidate->status->term <= closed;
}

std::map<SocketAddress, LogPoint> Promotion::closedAddresses(
    const GroupWatcher& watcher, const std::set<TargetName>& closed)
{
    std::map<SocketAddress, LogPoint> endAt;
    for (const auto& name : closed) {
        const auto& member = *watcher.find(name);
        auto& end = endAt[member.record.address];
        end = std::max(end, member.status->received);
    }
    // Another target may have started at the address of one that ended.
    for (const auto& [name, member] : watcher.members()) {
        if (!member.presumedEndedAt && !closed.contains(name))
            endAt.erase(member.record.address);
    }
    return endAt;
}

bool Promotion::areEnough(const GroupWatcher& watcher, const std::set<TargetName>& closed)
{
    return closedAddresses(watcher, closed).size() >= watcher.fencesNeeded();
}

bool Promotion::hasEnoughFenced(const Context& context) const
{
    if (!m_enoughFencedSince || isLeaseEnding(context) || isSuperseded(context))
        return false;
    const auto& members = context.watcher.members();
    const auto others = static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
        [&context](const auto& entry) { return mayFence(context.watcher, entry.first, entry.second); }));
    return fencedMembers(context.watcher).size() >= others || context.now - *m_enoughFencedSince >= fenceGrace;
}

bool Promotion::areFencesVerified(const Context& context) const
{
    // After a pause of this host the fences may look valid although another host holds the lease.
    if (!m_isListFresh || isLeaseEnding(context) || isSuperseded(context))
        return false;
    const auto& primary = context.watcher.primary();
    if (primary && !context.watcher.find(*primary)->health.isDown(context.now))
        return false;
    auto verified = endedMembers(context.watcher);
    for (const auto& name : fencedMembers(context.watcher)) {
        if (context.watcher.find(name)->queriedAt >= m_verifyStartedAt)
            verified.insert(name);
    }
    return areEnough(context.watcher, verified) && m_recordedCandidate && verified.contains(*m_recordedCandidate)
        && context.watcher.find(*m_recordedCandidate)->status->received >= requiredLogEnd(context.watcher, verified);
}

LogPoint Promotion::requiredLogEnd(const GroupWatcher& watcher, const std::set<TargetName>& closed)
{
    const auto endAt = closedAddresses(watcher, closed);
    // Without any, no log is known to be enough.
    if (endAt.empty())
        return { Term(std::numeric_limits<std::uint64_t>::max()), {} };
    std::vector<LogPoint> ends;
    ends.reserve(endAt.size());
    for (const auto& [address, end] : endAt)
        ends.push_back(end);
    std::sort(ends.rbegin(), ends.rend());
    // An acknowledged commit is on one member more than there are synchronous replicas. Those that are not fenced may
    // all have it.
    const auto holders = watcher.rules().syncReplicas + 1;
    const auto unfenced = watcher.groupSize() - std::min(watcher.groupSize(), ends.size());
    const auto fencedHolders = holders > unfenced ? holders - unfenced : 1;
    const auto required = ends.at(std::min(fencedHolders, ends.size()) - 1);
    // A member that ended may have had more of the closed log than it reported before the closing.
    const auto& closure = watcher.logClosure();
    const bool isUnknown = std::any_of(closed.begin(), closed.end(), [&](const TargetName& name) {
        const auto& member = *watcher.find(name);
        return member.presumedEndedAt && !closure.isFinal(name, member.queriedAt);
    });
    return isUnknown ? std::max(required, closure.end().value_or(LogPoint {})) : required;
}

bool Promotion::isCandidateRecorded(const Context& context) const
{
    return hasEnoughFenced(context) && m_recordedCandidate && chooseFencedTarget(context) == m_recordedCandidate;
}

bool Promotion::mayFence(const GroupWatcher& watcher, const TargetName& name, const GroupWatcher::Member& member)
{
    return name != watcher.primary() && (member.isListed() || !member.presumedEndedAt);
}

void Promotion::readMembers(Context& context)
{
    m_isReadOutdated = m_isReadingMembers;
    if (m_isReadingMembers)
        return;
    m_isReadingMembers = true;
    m_membersReadAt = context.now;
    m_delegate.readMembers(m_group);
}

void Promotion::fenceMembers(Context& context)
{
    m_commandedAt = context.now;
    if (m_demoted)
        log(LogEvent::HandoverStalled,
            { { "primary", m_demoted->value() }, { "token", std::to_string(m_token.value()) } });
    m_demoted.reset();
    if (!m_isListFresh && !m_isReadingMembers && context.now - m_membersReadAt >= membersRetryInterval)
        readMembers(context);
    for (const auto& [name, member] : context.watcher.members()) {
        const bool isFenced = member.status && member.status->fencedTerm == m_term;
        if (mayFence(context.watcher, name, member) && !isFenced)
            m_delegate.sendCommand(name, FenceReplica { m_term }, leaseUsableUntil());
    }
}

void Promotion::closePrimaryLog(Context& context)
{
    const auto& primary = context.watcher.primary();
    if (!primary || context.watcher.find(*primary)->health.isDown(context.now))
        return;
    // A member that joined meanwhile may acknowledge with the primary, and is listed only later.
    m_hasDemotedPrimary = true;
    m_delegate.sendCommand(*primary, DemotePrimary { m_term }, leaseUsableUntil());
    m_isListFresh = false;
    readMembers(context);
}

void Promotion::queryFenced(Context& context)
{
    m_commandedAt = context.now;
    m_verifyStartedAt = context.now;
    for (const auto& name : fencedMembers(context.watcher))
        m_delegate.sendCommand(name, QueryStatus {}, leaseUsableUntil());
}

std::tuple<bool, bool, bool, bool> Promotion::suitability(const GroupWatcher::Member& member) const
{
    const auto& name = member.record.name;
    const bool isPending = m_pending && m_pending->candidate == name;
    return { !m_notRunning.contains(name), isPending, member.isListed(), !member.record.isLeaving };
}

std::optional<TargetName> Promotion::chooseFencedTarget(const Context& context) const
{
    const auto fenced = fencedMembers(context.watcher);
    auto closed = endedMembers(context.watcher);
    closed.insert(fenced.begin(), fenced.end());
    // A promotion that may still take effect would undo that of another member.
    if (m_pending && fenced.contains(m_pending->candidate) && !m_notRunning.contains(m_pending->candidate)) {
        const auto* const pending = context.watcher.find(m_pending->candidate);
        if (pending->status->received >= requiredLogEnd(context.watcher, closed))
            return m_pending->candidate;
    }
    const GroupWatcher::Member* best = nullptr;
    for (const auto& name : fenced) {
        const auto* const member = context.watcher.find(name);
        if (member->presumedEndedAt)
            continue;
        const auto rank = [this](const GroupWatcher::Member& ranked) {
            return std::tuple(ranked.status->received, suitability(ranked));
        };
        if (!best || rank(*member) > rank(*best))
            best = member;
    }
    if (!best)
        return {};
    return best->record.name;
}

void Promotion::refenceMembers(Context& context)
{
    // After a handover nothing can be acknowledged while the former primary answers that it is no primary.
    if (m_demoted && demotedLogEnd(context.watcher) && !context.watcher.find(*m_demoted)->health.isSuspect(context.now))
        return;
    for (const auto& [name, member] : context.watcher.members()) {
        const auto& status = member.status;
        const bool isCandidateOrPrimary = name == m_candidate || name == context.watcher.primary();
        if (!isCandidateOrPrimary && status && !status->isPrimary && !status->isFenced()
            && status->term <= m_formerTerm)
            m_delegate.sendCommand(name, FenceReplica { m_term }, leaseUsableUntil());
    }
}

void Promotion::updateEnoughFenced(const Context& context)
{
    auto closed = endedMembers(context.watcher);
    closed.merge(fencedMembers(context.watcher));
    if (!areEnough(context.watcher, closed))
        m_enoughFencedSince.reset();
    else if (!m_enoughFencedSince)
        m_enoughFencedSince = context.now;
}

} // namespace Auburnpost::Proxy
