#include "proxy/ModelHost.h"

#include "proxy/GroupService.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    using namespace std::chrono_literals;

    /// Time without a tick after which Proxy counts the process as paused.
    constexpr Duration pauseThreshold = 300ms;
    /// Interval of polls while nothing is suspected.
    constexpr Duration quietPollInterval = 500ms;
    /// Ages beyond every timeout of the product are equal.
    constexpr std::uint64_t maxAge = 90;

} // namespace

ModelHost::ModelHost(std::size_t index, const GroupRules& rules)
    : m_name("host-" + std::to_string(index))
    , m_promotion(m_name, GroupName("group"), *this)
    , m_random(index + 1)
{
    m_watcher.setRules(rules);
}

void ModelHost::setMembers(Instant now)
{
    m_watcher.setMembers(now, m_directory.members(GroupName("group")));
    m_watcher.releaseMembers(now);
    // GroupService queries all members when one is no longer listed.
    if (m_watcher.membership().listedCount() < m_watcher.members().size())
        m_polledAt = {};
}

void ModelHost::applyList(Instant now, const std::vector<TargetRecord>& records, std::size_t version)
{
    m_now = now;
    m_listVersion = version;
    m_directory.update(now, records);
    setMembers(now);
    for (const auto& [name, member] : m_watcher.members()) {
        m_listedAt[member.record.address] = now;
        m_missingSince.try_emplace(name, now);
    }
    for (const auto& record : records)
        m_missingSince.erase(record.name);
    updateTimers(now);
}

void ModelHost::beginTick(Instant now)
{
    m_now = now;
    if (m_lastTickAt && now - *m_lastTickAt >= pauseThreshold)
        m_watcher.discountPause(now);
    m_lastTickAt = now;
    if (!m_directory.expire(now).isEmpty())
        setMembers(now);
    m_watcher.releaseMembers(now);
    m_watcher.checkPrimary(now);
    for (const auto& [name, member] : m_watcher.members())
        m_listedAt[member.record.address] = now;
}

bool ModelHost::isUsing(Instant now, const TargetName& name) const
{
    const auto* const member = m_watcher.find(name);
    return member && m_watcher.primary() == name && m_watcher.guard().allows(name) && !member->health.isSuspect(now)
        && !m_promotion.isFencing();
}

void ModelHost::sendLeaseReads()
{
    const bool isOwnAttempt = m_promotion.isReplacing() && m_promotion.state() != "Delaying";
    if (m_leaseReads.send(m_now, !isOwnAttempt && m_watcher.guard().isReadDue(m_now)))
        m_requests.emplace_back(LeaseReadRequest {});
}

bool ModelHost::isPollDue(Instant now) const
{
    const auto& members = m_watcher.members();
    const bool isUrgent = m_promotion.isReplacing() || !m_watcher.primary()
        || !m_watcher.guard().allows(*m_watcher.primary()) || m_watcher.membership().awaitsEvidence(now)
        || std::any_of(members.begin(), members.end(),
            [now](const auto& entry) { return !entry.second.status || entry.second.health.isSuspect(now); });
    return isUrgent || now - m_polledAt >= quietPollInterval;
}

void ModelHost::pollUnanswered(Instant now, const TargetName& name)
{
    auto* const health = m_watcher.health(name);
    if (!health)
        return;
    health->recordRequest(now);
    if (health->needsConnectProbe(now))
        health->recordConnectAttempt(now);
}

void ModelHost::pollRefused(Instant now, const TargetName& name)
{
    if (auto* const health = m_watcher.health(name))
        health->recordRefusal(now);
}

void ModelHost::statusReceived(Instant now, const TargetName& name, Instant queriedAt, const TargetStatus& status)
{
    m_now = now;
    auto* const health = m_watcher.health(name);
    if (!health)
        return;
    health->recordResponse(now, now - queriedAt);
    m_watcher.recordStatus(now, name, queriedAt, status);
    sendLeaseReads();
    updateTimers(now);
}

void ModelHost::endTick(Instant now)
{
    const auto reason = m_watcher.failoverReason(now);
    if (m_promotion.isIdle()) {
        m_replacedTerm = m_watcher.primaryTerm();
        if (reason != FailoverReason::None)
            m_promotion.start(now, m_watcher, m_random, PromotionGoal::ReplacePrimary, reason);
        else if (m_watcher.hasFencedMemberFor(now, GroupService::abandonedFenceTimeout))
            m_promotion.start(now, m_watcher, m_random, PromotionGoal::ResumeMembers, reason);
        else if (m_promotion.isRecordDue(now, m_watcher))
            m_promotion.start(now, m_watcher, m_random, PromotionGoal::RecordMembers, reason);
    }
    updateTimers(now);
    m_promotion.tick(now, m_watcher, reason);
    m_now = now;
    sendLeaseReads();
    updateTimers(now);
}

void ModelHost::commitAcknowledged(Instant now, Instant sentAt, const TargetName& name, const LogPoint& end)
{
    if (m_promotion.isFencing())
        return;
    m_commitAcknowledgedAt = sentAt;
    m_watcher.recordCommit(now, name, sentAt, end);
}

void ModelHost::leaseRead(Instant now, const PromotionLeaseRow& row)
{
    m_now = now;
    const bool isHeld = row.lease && row.lease->expiresAtMs > row.storeNowMs;
    m_leaseLeftMs = isHeld ? row.lease->expiresAtMs - row.storeNowMs : 0;
    if (!isHeld && row.lease && row.lease->pending && row.version != m_token) {
        m_pending = row.lease->pending;
        m_pendingSince = now - std::chrono::milliseconds(row.storeNowMs - m_pending->recordedAtMs);
    }
    if (row.lease && row.lease->members)
        m_watcher.addRecorded(now, GroupName("group"), *row.lease->members);
    if (const auto sentAt = m_leaseReads.answered())
        m_watcher.guard().recordRow(now, *sentAt, row, m_promotion.hasWritten(row.version), m_promotion.pending());
    if (!m_leaseReads.isRequested())
        m_promotion.leaseRead(now, m_watcher, row);
    sendLeaseReads();
    updateTimers(now);
}

void ModelHost::leaseWritten(Instant now, std::optional<RowVersion> version)
{
    m_now = now;
    m_token = version.value_or(RowVersion {});
    if (m_promotion.state() == "Writing")
        m_isListFresh = false;
    m_promotion.leaseWritten(now, m_watcher, version);
    updateTimers(now);
}

void ModelHost::membersRead(Instant now, const std::vector<TargetRecord>& records, std::size_t version)
{
    m_now = now;
    if (version > m_listVersion)
        applyList(now, records, version);
    m_isReadingMembers = false;
    m_isListFresh = m_isListFresh || !m_promotion.isIdle();
    m_promotion.membersRead(now, m_watcher, true);
    updateTimers(now);
}

void ModelHost::promoteAnswered(Instant now, PromotionOutcome outcome)
{
    m_now = now;
    m_promotion.promoteAnswered(now, m_watcher, outcome);
    updateTimers(now);
}

std::vector<ModelRequest> ModelHost::takeRequests()
{
    return std::exchange(m_requests, {});
}

void ModelHost::readLease(const GroupName&)
{
    m_leaseReadAt = m_now;
    m_leaseReads.request();
}

void ModelHost::readMembers(const GroupName&)
{
    m_isReadingMembers = true;
    m_requests.emplace_back(MembersReadRequest {});
}

void ModelHost::writeLease(const GroupName&, const PromotionLease& lease, RowVersion expected)
{
    const bool isRecording = m_promotion.state() != "Reading" && m_promotion.state() != "Writing";
    if (isRecording) {
        m_pending = lease.pending;
        m_pendingSince = m_now;
    }
    m_requests.emplace_back(LeaseWriteRequest { lease, expected });
}

void ModelHost::promote(const GroupName&, const TargetName& target, RowVersion token, Instant sendBefore)
{
    m_candidate = target;
    m_requests.emplace_back(PromotionRequest { target, token, m_now >= sendBefore });
}

void ModelHost::sendCommand(const TargetName& target, const TargetRequest& request, Instant sendBefore)
{
    m_commandedAt = m_now;
    if (const auto* const fence = std::get_if<FenceReplica>(&request))
        m_commandTerm = fence->term;
    if (m_now < sendBefore)
        m_requests.emplace_back(CommandRequest { target, request });
}

void ModelHost::updateTimers(Instant now)
{
    if (m_state != m_promotion.state()) {
        m_previousState = m_state;
        m_state = m_promotion.state();
        m_stateEnteredAt = now;
        if (m_state == "Finishing")
            m_attemptFinishedAt = now;
    }
    if (m_primary != m_watcher.primary()) {
        m_primary = m_watcher.primary();
        m_primaryChangedAt = now;
    }
    std::size_t fenced = 0;
    for (const auto& [name, member] : m_watcher.members())
        fenced += member.status && member.status->isFenced() ? 1 : 0;
    const auto update = [now](std::optional<Instant>& since, bool holds) {
        if (!holds)
            since.reset();
        else if (!since)
            since = now;
    };
    update(m_fencedSince, fenced > 0);
    update(m_enoughFencedSince, fenced >= m_watcher.fencesNeeded());
}

std::uint64_t ModelHost::age(Instant now, Instant moment)
{
    return std::min<std::uint64_t>(static_cast<std::uint64_t>((now - moment) / tickLength), maxAge);
}

void ModelHost::addMemberTo(Fingerprint& fingerprint, Instant now, const GroupWatcher::Member& member) const
{
    fingerprint.add(member.record.name.value());
    fingerprint.add((member.record.isLeaving ? 1U : 0U) | (member.record.reportsPrimary ? 2U : 0U));
    if (member.status) {
        const auto& status = *member.status;
        fingerprint.add(status.isPrimary ? 1 : 0);
        fingerprint.add(status.term.value());
        fingerprint.add(status.received.term.value());
        fingerprint.add(status.received.position.value());
        fingerprint.add(status.fencedTerm.value());
        fingerprint.add(age(now, member.queriedAt));
    }
    fingerprint.add((member.health.isDown(now) ? 1U : 0U) | (member.health.isSuspect(now) ? 2U : 0U)
        | (member.health.hasRefused() ? 4U : 0U) | (member.mayHaveLog() ? 8U : 0U));
    if (const auto& end = member.requiredEnd) {
        fingerprint.add(end->term.value());
        fingerprint.add(end->position.value());
    }
    if (const auto respondedAt = member.health.lastResponseAt())
        fingerprint.add(age(now, *respondedAt));
    for (const auto& since : { member.behindSince, member.reportsPrimarySince, member.leavingSince,
             member.unlistedSince, member.presumedEndedAt })
        fingerprint.add(since ? age(now, *since) : maxAge + 1);
}

void ModelHost::addRecorderTo(Fingerprint& fingerprint, Instant now) const
{
    for (const auto& [member, releasedAt] : m_watcher.membership().releases())
        fingerprint.add(member.first.value());
    if (!m_recordsMembers)
        return;
    const auto& recorder = m_promotion.recorder();
    const bool isCurrent = recorder.isCurrent(m_watcher);
    fingerprint.add(isCurrent ? 1 : 0);
    fingerprint.add(isCurrent ? 0 : age(now, recorder.unchangedSince()));
    fingerprint.add(age(now, recorder.retryAt() - MemberRecorder::retryInterval));
    fingerprint.add(recorder.checkedTerm().value());
}

void ModelHost::addTo(Fingerprint& fingerprint, Instant now) const
{
    addRecorderTo(fingerprint, now);
    fingerprint.add(m_promotion.isReplacing() ? 1 : 0);
    fingerprint.add(m_state);
    fingerprint.add(m_previousState);
    for (const auto moment : { m_stateEnteredAt, m_leaseReadAt, m_commandedAt, m_attemptFinishedAt, m_polledAt,
             m_primaryChangedAt, m_lastTickAt.value_or(Instant {}), m_fencedSince.value_or(Instant {}),
             m_enoughFencedSince.value_or(Instant {}), m_commitAcknowledgedAt })
        fingerprint.add(age(now, moment));
    for (const auto value : { m_leaseLeftMs, m_commandTerm.value(), m_replacedTerm.value(), m_token.value(),
             m_watcher.primaryTerm().value(), m_watcher.highestTerm().value() })
        fingerprint.add(value);
    fingerprint.add(m_candidate ? m_candidate->value() : "");
    fingerprint.add((m_isListFresh ? 1U : 0U) | (m_isReadingMembers ? 2U : 0U));
    if (m_pending) {
        fingerprint.add(m_pending->candidate.value());
        fingerprint.add(m_pending->replacedTerm.value());
        fingerprint.add(m_pending->isRepeated ? 1 : 0);
        fingerprint.add(age(now, m_pendingSince));
    }
    const auto& guard = m_watcher.guard();
    fingerprint.add(static_cast<std::uint64_t>(guard.doubt()));
    fingerprint.add((m_primary && guard.allows(*m_primary) ? 1U : 0U) | (guard.isReadDue(now) ? 2U : 0U)
        | (guard.isOverdue(now) ? 4U : 0U) | (m_leaseReads.isRequested() ? 8U : 0U));
    fingerprint.add(guard.reportedAt() ? age(now, *guard.reportedAt()) : maxAge + 1);
    fingerprint.add(m_primary ? m_primary->value() : "");
    fingerprint.add(static_cast<std::uint64_t>(m_watcher.failoverReason(now)));
    fingerprint.add(m_watcher.fencesNeeded());
    if (const auto confirmedAt = m_watcher.confirmations().newestRequestedAt())
        fingerprint.add(age(now, *confirmedAt));
    for (const auto& [name, member] : m_watcher.members())
        addMemberTo(fingerprint, now, member);
    for (const auto& [address, listedAt] : m_listedAt) {
        fingerprint.add(address.port);
        fingerprint.add(age(now, listedAt));
    }
    for (const auto& [name, since] : m_missingSince)
        fingerprint.add(age(now, since));
}

} // namespace Auburnpost::Proxy
