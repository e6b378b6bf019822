#include "proxy/Promotion.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    std::uint64_t milliseconds(Duration duration)
    {
        return static_cast<std::uint64_t>(toMilliseconds(duration));
    }

} // namespace

void Promotion::waitForLeaseHolder(Context& context)
{
    const auto left = m_leaseRow.lease->expiresAtMs - m_leaseRow.storeNowMs;
    m_delayUntil = context.now + std::chrono::milliseconds(std::min(left, milliseconds(leaseLifetime)));
    log(LogEvent::PromotionLeaseHeld,
        { { "holder", m_leaseRow.lease->holder.value() }, { "version", std::to_string(m_leaseRow.version.value()) },
            { "left_ms", std::to_string(left) } });
}

bool Promotion::isHandoverPostponed(const Context& context) const
{
    const auto& lease = m_leaseRow.lease;
    const auto& primary = context.watcher.primary();
    if (!lease || !lease->pending || !lease->pending->isRepeated || lease->pending->candidate != primary)
        return false;
    // An earlier call for the present primary changes nothing now, and would undo its replacement.
    const auto& leavingSince = context.watcher.find(*primary)->leavingSince;
    return context.watcher.failoverReason(context.now) == FailoverReason::Leaving && leavingSince
        && context.now - *leavingSince < maxHandoverDelay
        && m_leaseRow.storeNowMs < lease->pending->recordedAtMs + milliseconds(pendingLifetime);
}

void Promotion::postponeHandover(Context& context)
{
    const auto until = m_leaseRow.lease->pending->recordedAtMs + milliseconds(pendingLifetime);
    const auto left = std::chrono::milliseconds(until - m_leaseRow.storeNowMs);
    const auto& primary = *context.watcher.find(*context.watcher.primary());
    m_delayUntil = std::min<Instant>(context.now + left, *primary.leavingSince + maxHandoverDelay);
}

void Promotion::readLease(Context& context)
{
    m_leaseReadAt = context.now;
    m_delegate.readLease(m_group);
}

void Promotion::writeLease(Context& context)
{
    // Recording the members needs no lease: the write is conditional, and changes nothing else.
    const auto lifetime = isRecordOnly(context) ? Duration {} : leaseLifetime;
    writeRow(context, m_leaseRow.storeNowMs + milliseconds(lifetime), m_leaseRow.version, termToReplace());
}

void Promotion::writeRow(
    const Context& context, std::uint64_t expiresAtMs, RowVersion expected, const std::optional<Term>& replacedTerm)
{
    m_isWritingRow = true;
    PromotionLease lease { m_self, expiresAtMs, isRecordOnly(context) ? std::nullopt : m_pending };
    lease.replacedTerm = replacedTerm;
    lease.unresolvedTerm = unresolvedTerm(context.watcher);
    lease.members = MemberRecorder::describe(context.watcher);
    // A host that has no list knows of no change.
    if (lease.members->members.empty())
        lease.members = m_recorder.known();
    // This host may have seen a later primary no more than an earlier writer.
    if (lease.members && m_recorder.known())
        lease.members->term = std::max(lease.members->term, m_recorder.known()->term);
    lease.membersProblem = lease.members ? MemberRecordProblem::None : MemberRecordProblem::Missing;
    m_writtenMembers = lease.members;
    m_expectedVersion = expected;
    m_delegate.writeLease(m_group, lease, expected);
}

std::optional<Term> Promotion::unresolvedTerm(const GroupWatcher& watcher) const
{
    const auto& lease = m_leaseRow.lease;
    if (!lease)
        return Term {};
    if (!lease->unresolvedTerm && !watcher.primary())
        return {};
    auto term = lease->unresolvedTerm.value_or(Term {});
    const bool isOwnUncalled = m_leaseRow.version == m_token && !m_pending;
    const bool staysInRow = m_pending && lease->pending && m_pending->candidate == lease->pending->candidate;
    if (lease->pending && !isOwnUncalled && !staysInRow && !isPendingDisproved(watcher, lease->pending->replacedTerm))
        term = std::max(term, lease->pending->replacedTerm);
    return watcher.primary() && watcher.primaryTerm() > term ? Term {} : term;
}

std::optional<Term> Promotion::termToReplace() const
{
    if (m_goal != PromotionGoal::ReplacePrimary)
        return Term {};
    const auto term = std::max(m_replacedTerm, m_pending ? m_pending->replacedTerm : Term {});
    return term == Term {} ? std::nullopt : std::optional(term);
}

void Promotion::recordRead(Context& context, bool isHeld)
{
    if (m_recorder.isCurrent(context.watcher)) {
        m_recorder.finish(context.watcher);
        fire("recordCurrent", context);
        return;
    }
    const auto& pending = m_leaseRow.lease ? m_leaseRow.lease->pending : std::nullopt;
    const bool hasPending = pending && m_leaseRow.storeNowMs < pending->recordedAtMs + milliseconds(pendingLifetime);
    // The holder of the lease records the members, and what is pending has to stay in the row.
    fire(isHeld || hasPending ? "recordPostponed" : "claimFree", context);
}

void Promotion::postponeRecord(Context& context)
{
    m_recorder.postpone(context.now);
}

void Promotion::logRecordProblem()
{
    const auto problem = m_recorder.problem();
    if (problem == MemberRecordProblem::None)
        return;
    const bool isMissing = problem == MemberRecordProblem::Missing;
    log(isMissing ? LogEvent::MemberRecordMissing : LogEvent::MemberRecordUnusable,
        { { "problem", std::string(toString(problem)) }, { "version", std::to_string(m_leaseRow.version.value()) } });
}

void Promotion::adoptPending(Context& context)
{
    const auto& lease = m_leaseRow.lease;
    // Of a version that this process wrote, it knows whether the call was made.
    if (lease && lease->pending && m_leaseRow.version != m_token) {
        const auto age = m_leaseRow.storeNowMs - std::min(m_leaseRow.storeNowMs, lease->pending->recordedAtMs);
        m_pending = lease->pending;
        m_pendingUntil
            = context.now + pendingLifetime - std::chrono::milliseconds(std::min(age, milliseconds(pendingLifetime)));
    }
    if (!isPromotionPending(context)) {
        m_pending.reset();
        return;
    }
    if (m_goal == PromotionGoal::ReplacePrimary)
        return;
    // The members that are still fenced would follow the present primary again before the promotion takes effect.
    m_goal = PromotionGoal::ReplacePrimary;
    log(LogEvent::PendingPromotionFound,
        { { "target", m_pending->candidate.value() }, { "version", std::to_string(m_leaseRow.version.value()) },
            { "left_ms", std::to_string(toMilliseconds(m_pendingUntil - context.now)) } });
}

bool Promotion::isPromotionPending(const Context& context) const
{
    const bool hasNewerPrimary
        = m_pending && context.watcher.primary() && context.watcher.primaryTerm() > m_pending->replacedTerm;
    return m_pending && !hasNewerPrimary && context.now < m_pendingUntil;
}

std::uint64_t Promotion::storeNowMs(Instant now) const
{
    return m_leaseRow.storeNowMs + milliseconds(now - m_leaseReadAt);
}

void Promotion::recordCandidate(Context& context)
{
    const auto candidate = m_demoted ? chooseHandoverTarget(context) : chooseFencedTarget(context);
    if (!m_hasRecorded)
        m_earlierPending = isPromotionPending(context) ? m_pending : std::nullopt;
    m_hasRecorded = true;
    m_formerTerm = m_replacedTerm;
    for (const auto& [name, member] : context.watcher.members())
        m_formerTerm = std::max(m_formerTerm, member.status ? member.status->term : Term {});
    m_pending = { *candidate, m_formerTerm, storeNowMs(context.now), m_earlierPending.has_value() };
    m_pendingUntil = context.now + pendingLifetime;
    writeRow(context, m_leaseRow.storeNowMs + milliseconds(leaseLifetime), m_token, termToReplace());
}

void Promotion::withdrawCandidate(Context& context)
{
    // While another write is in progress the version of the row is not known.
    if (m_isWritingRow || !m_recordedCandidate || m_pending)
        return;
    m_recordedCandidate.reset();
    m_withdrawnAt = context.now;
    writeRow(context, m_leaseRow.storeNowMs + milliseconds(leaseLifetime), m_token, Term {});
}

bool Promotion::isWithdrawing(Instant now) const
{
    return m_withdrawnAt && now - *m_withdrawnAt < leaseStepTimeout;
}

} // namespace Auburnpost::Proxy
