#include "proxy/Promotion.h"

#include "chart/EmbeddedCharts.h"
#include "proxy/PromotionLog.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Auburnpost::Proxy {

namespace {

    std::uint64_t milliseconds(Duration duration)
    {
        return static_cast<std::uint64_t>(toMilliseconds(duration));
    }

    /// @return the number of members that report a fence of any term.
    std::size_t countFenced(const GroupWatcher& watcher)
    {
        const auto& members = watcher.members();
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
            [](const auto& entry) { return entry.second.status && entry.second.status->isFenced(); }));
    }

} // namespace

Promotion::Runner Promotion::makeRunner()
{
    Runner::Bindings bindings;
    bindings.guards = { { "reasonGone", &Promotion::isReasonGone }, { "delayPassed", &Promotion::hasDelayPassed },
        { "claimLate", &Promotion::isLeaseStepLate }, { "repairsOnly", &Promotion::isResumeOnly },
        { "superseded", &Promotion::isSuperseded }, { "claimEnds", &Promotion::isLeaseEnding },
        { "renewalDue", &Promotion::isRenewalDue }, { "enoughFenced", &Promotion::hasEnoughFenced },
        { "canHandOver", &Promotion::canHandOver }, { "handoverReady", &Promotion::isHandoverReady },
        { "handoverStalled", &Promotion::hasHandoverStalled }, { "handoverPollDue", &Promotion::isHandoverPollDue },
        { "handsOver", &Promotion::mayHandOver }, { "candidateRecorded", &Promotion::isCandidateRecorded },
        { "retryDue", &Promotion::isRetryDue }, { "fencesHold", &Promotion::areFencesVerified },
        { "promotedSeen", &Promotion::isPromotionSeen }, { "awaitLimitPassed", &Promotion::hasAwaitTimedOut },
        { "allJoined", &Promotion::haveAllJoined }, { "finishLimitPassed", &Promotion::hasFinishTimedOut } };
    bindings.actions = { { "waitForHolder", &Promotion::waitForLeaseHolder }, { "delayRetry", &Promotion::delayRetry },
        { "readClaim", &Promotion::readLease }, { "writeClaim", &Promotion::writeLease },
        { "fenceMembers", &Promotion::fenceMembers }, { "askFenced", &Promotion::queryFenced },
        { "startHandover", &Promotion::startHandover }, { "pollHandover", &Promotion::pollHandover },
        { "recordCandidate", &Promotion::recordCandidate }, { "postponeHandover", &Promotion::postponeHandover },
        { "callPromotion", &Promotion::callPromotion }, { "demoteFormer", &Promotion::demoteFormerPrimary },
        { "fenceAgain", &Promotion::refenceMembers }, { "joinMembers", &Promotion::joinMembers },
        { "renewForRepairs", &Promotion::renewLeaseForResume }, { "giveUp", &Promotion::abandonAttempt } };
    const auto chart = Chart::StateChart::parse("promotion", Chart::embeddedChart("promotion"));
    AUBURNPOST_INVARIANT(chart, "promotion.scxml could not be parsed");
    auto runner = Runner::bind(*chart, std::move(bindings));
    AUBURNPOST_INVARIANT(runner, "promotion.scxml has a guard or action without a binding");
    return std::move(*runner);
}

Promotion::Promotion(HostName self, GroupName group, PromotionDelegate& delegate)
    : m_self(std::move(self))
    , m_group(std::move(group))
    , m_delegate(delegate)
    , m_runner(makeRunner())
    , m_trace(m_group, delegate)
{
}

void Promotion::fire(std::string_view event, Context& context)
{
    const auto before = m_runner.state();
    m_runner.fire(event, *this, context);
    if (m_runner.state() != before) {
        m_stateEnteredAt = context.now;
        logAbandonment(event, before, context);
    }
}

void Promotion::start(
    Instant now, const GroupWatcher& watcher, RandomEngine& random, PromotionGoal goal, FailoverReason failoverReason)
{
    if (!isIdle())
        return;
    m_goal = goal;
    m_replacedTerm = watcher.primaryTerm();
    m_hasDemotedPrimary = m_hasDemotedPrimary && !watcher.primary();
    m_finishingSince.reset();
    std::uniform_int_distribution<Duration::rep> jitter(0, startJitter.count());
    m_delayUntil = now + Duration(jitter(random));
    m_failoverReason = failoverReason;
    m_trace.recordSuspicion(now);
    std::vector<LogField> fields { { "trouble", std::string(toString(failoverReason)) },
        { "primary", watcher.primary() ? watcher.primary()->value() : "-" },
        { "term", std::to_string(watcher.primaryTerm().value()) } };
    PromotionLog::appendEvidence(fields, now, watcher, countFenced(watcher));
    log(LogEvent::PrimarySuspected, std::move(fields));
    Context context { now, watcher, failoverReason };
    fire("start", context);
}

void Promotion::tick(Instant now, const GroupWatcher& watcher, FailoverReason failoverReason)
{
    m_trace.observe(now, watcher);
    if (failoverReason != FailoverReason::None)
        m_failoverReason = failoverReason;
    if (isIdle())
        return;
    Context context { now, watcher, failoverReason };
    updateEnoughFenced(context);
    fire("progress", context);
}

void Promotion::updateEnoughFenced(const Context& context)
{
    if (fencedMembers(context.watcher).size() < context.watcher.fencesNeeded())
        m_enoughFencedSince.reset();
    else if (!m_enoughFencedSince)
        m_enoughFencedSince = context.now;
}

void Promotion::leaseRead(Instant now, const GroupWatcher& watcher, const Expected<PromotionLeaseRow>& row)
{
    if (!m_runner.isIn("Reading"))
        return;
    Context context { now, watcher };
    if (!row) {
        fire("claimRefused", context);
        return;
    }
    m_leaseRow = *row;
    const bool isHeld = row->lease && row->lease->holder != m_self && row->lease->expiresAtMs > row->storeNowMs;
    if (isHeld) {
        fire("claimHeld", context);
        return;
    }
    adoptPending(context);
    fire(isHandoverPostponed(context) ? "handoverPostponed" : "claimFree", context);
}

void Promotion::leaseWritten(
    Instant now, const GroupWatcher& watcher, const Expected<std::optional<RowVersion>>& version)
{
    const bool isRecording = m_runner.isIn("Recording");
    if (!isRecording && !m_runner.isIn("Writing"))
        return;
    Context context { now, watcher };
    if (!version || !*version) {
        fire("claimRefused", context);
        return;
    }
    m_token = **version;
    if (isRecording) {
        m_recordedCandidate = m_pending->candidate;
        fire("recorded", context);
        fire("progress", context);
        return;
    }
    m_term = Term(watcher.highestTerm().value() + 1);
    m_enoughFencedSince.reset();
    m_candidate.reset();
    m_recordedCandidate.reset();
    m_hasRecorded = false;
    m_demoted.reset();
    m_isListFresh = false;
    std::vector<LogField> fields { { "token", std::to_string(m_token.value()) },
        { "term", std::to_string(m_term.value()) },
        { "trouble", m_goal == PromotionGoal::ResumeMembers ? "fences" : std::string(toString(m_failoverReason)) } };
    PromotionLog::appendEvidence(fields, now, watcher, countFenced(watcher));
    log(LogEvent::FailoverStarted, std::move(fields));
    fire("claimTaken", context);
}

void Promotion::membersRead(Instant now, const GroupWatcher& watcher, bool isKnown)
{
    m_isReadingMembers = false;
    if (!isKnown || isIdle())
        return;
    m_isListFresh = true;
    Context context { now, watcher };
    fire("listed", context);
}

void Promotion::promoteAnswered(Instant now, const GroupWatcher& watcher, PromotionOutcome outcome)
{
    constexpr std::string_view events[] { "accepted", "notRunning", "notDone", "unanswered" };
    if (outcome == PromotionOutcome::NotRunning && m_candidate)
        m_notRunning.insert(*m_candidate);
    Context context { now, watcher };
    log(LogEvent::PromotionRequestFinished,
        { { "target", m_candidate ? m_candidate->value() : "-" }, { "token", std::to_string(m_token.value()) },
            { "outcome", std::string(events[static_cast<std::size_t>(outcome)]) } });
    fire(events[static_cast<std::size_t>(outcome)], context);
}

bool Promotion::isReasonGone(const Context& context) const
{
    if (m_goal == PromotionGoal::ResumeMembers)
        return !context.watcher.hasFencedMemberFor(context.now, Duration {});
    // A promotion that takes effect later would roll back what the present primary acknowledges until then.
    if (isPromotionPending(context))
        return false;
    if (m_hasDemotedPrimary && !context.watcher.primary())
        return false;
    return context.failoverReason == FailoverReason::None;
}

bool Promotion::hasDelayPassed(const Context& context) const
{
    return context.now >= m_delayUntil;
}

bool Promotion::isLeaseStepLate(const Context& context) const
{
    return context.now - m_stateEnteredAt >= leaseStepTimeout;
}

bool Promotion::isResumeOnly(const Context&) const
{
    return m_goal == PromotionGoal::ResumeMembers;
}

bool Promotion::isSuperseded(const Context& context) const
{
    return context.watcher.primary() && context.watcher.primaryTerm() > m_replacedTerm;
}

bool Promotion::isLeaseEnding(const Context& context) const
{
    const auto usableUntil = m_runner.isIn("Attempt") ? callDeadline() : leaseUsableUntil();
    return context.now + commandMargin >= usableUntil;
}

bool Promotion::mayResume(const GroupWatcher::Member& member) const
{
    // A fence of a higher term belongs to a later lease, whose holder relies on it.
    return member.status && member.status->isFenced() && member.status->fencedTerm <= m_term;
}

bool Promotion::isRenewalDue(const Context& context) const
{
    const auto& members = context.watcher.members();
    return isLeaseEnding(context)
        && std::any_of(members.begin(), members.end(), [this](const auto& entry) { return mayResume(entry.second); });
}

std::set<TargetName> Promotion::fencedMembers(const GroupWatcher& watcher) const
{
    std::set<TargetName> names;
    for (const auto& [name, member] : watcher.members()) {
        if (member.status && !member.status->isPrimary && member.status->fencedTerm == m_term)
            names.insert(name);
    }
    return names;
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

bool Promotion::isRetryDue(const Context& context) const
{
    return context.now - m_commandedAt >= commandRetryInterval;
}

bool Promotion::areFencesVerified(const Context& context) const
{
    // After a pause of this host the fences may look valid although another host holds the lease.
    if (!m_isListFresh || isLeaseEnding(context) || isSuperseded(context))
        return false;
    std::set<TargetName> verified;
    for (const auto& name : fencedMembers(context.watcher)) {
        if (context.watcher.find(name)->queriedAt >= m_verifyStartedAt)
            verified.insert(name);
    }
    return verified.size() >= context.watcher.fencesNeeded() && m_recordedCandidate
        && verified.contains(*m_recordedCandidate)
        && context.watcher.find(*m_recordedCandidate)->status->received >= requiredLogEnd(context.watcher, verified);
}

LogPoint Promotion::requiredLogEnd(const GroupWatcher& watcher, const std::set<TargetName>& fenced) const
{
    std::vector<LogPoint> ends;
    for (const auto& name : fenced)
        ends.push_back(watcher.find(name)->status->received);
    std::sort(ends.rbegin(), ends.rend());
    // An acknowledged commit is on one member more than there are synchronous replicas. Those that are not fenced may
    // all have it.
    const auto holders = watcher.rules().syncReplicas + 1;
    const auto unfenced = watcher.groupSize() - std::min(watcher.groupSize(), ends.size());
    const auto fencedHolders = holders > unfenced ? holders - unfenced : 1;
    return ends.at(std::min(fencedHolders, ends.size()) - 1);
}

bool Promotion::isPromotionSeen(const Context& context) const
{
    return context.watcher.primary() && context.watcher.primary() == m_candidate
        && context.watcher.find(*m_candidate)->queriedAt >= m_stateEnteredAt;
}

bool Promotion::hasAwaitTimedOut(const Context& context) const
{
    return context.now - m_stateEnteredAt >= awaitTimeout;
}

bool Promotion::haveAllJoined(const Context& context) const
{
    const auto& members = context.watcher.members();
    return std::all_of(members.begin(), members.end(), [&context](const auto& entry) {
        const auto& status = entry.second.status;
        const bool isPrimary = entry.first == context.watcher.primary();
        return isPrimary || (status && !status->isPrimary && !status->isFenced());
    });
}

bool Promotion::hasFinishTimedOut(const Context& context) const
{
    return m_finishingSince && context.now - *m_finishingSince >= finishTimeout;
}

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

void Promotion::delayRetry(Context& context)
{
    m_delayUntil = context.now + retryDelay;
}

void Promotion::readLease(Context& context)
{
    m_leaseReadAt = context.now;
    m_delegate.readLease(m_group);
}

void Promotion::writeLease(Context&)
{
    m_delegate.writeLease(
        m_group, { m_self, m_leaseRow.storeNowMs + milliseconds(leaseLifetime), m_pending }, m_leaseRow.version);
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
    const auto candidate = m_demoted ? handoverCandidate(context) : chooseFenced(context);
    if (!m_hasRecorded)
        m_earlierPending = isPromotionPending(context) ? m_pending : std::nullopt;
    m_hasRecorded = true;
    m_pending = { *candidate, m_replacedTerm, storeNowMs(context.now), m_earlierPending.has_value() };
    m_pendingUntil = context.now + pendingLifetime;
    m_delegate.writeLease(m_group, { m_self, m_leaseRow.storeNowMs + milliseconds(leaseLifetime), m_pending }, m_token);
}

bool Promotion::canHandOver(const Context& context) const
{
    const auto& primary = context.watcher.primary();
    return primary && context.watcher.primaryTerm() == m_replacedTerm
        && !context.watcher.find(*primary)->health.isDown(context.now)
        && context.watcher.hasCaughtUpReplica(context.now);
}

void Promotion::startHandover(Context& context)
{
    m_demoted = context.watcher.primary();
    m_demotedAt = context.now;
    m_hasDemotedPrimary = true;
    pollHandover(context);
}

void Promotion::pollHandover(Context& context)
{
    m_commandedAt = context.now;
    const auto end = demotedLogEnd(context.watcher);
    if (!end)
        m_delegate.sendCommand(*m_demoted, DemotePrimary { m_term }, leaseUsableUntil());
    for (const auto& [name, member] : context.watcher.members()) {
        const bool hasLog = end && member.status && member.status->received >= *end;
        if (name != m_demoted && mayFence(context.watcher, name, member) && !hasLog)
            m_delegate.sendCommand(name, QueryStatus {}, leaseUsableUntil());
    }
}

std::optional<LogPoint> Promotion::demotedLogEnd(const GroupWatcher& watcher) const
{
    const auto* const member = m_demoted ? watcher.find(*m_demoted) : nullptr;
    if (!member || !member->status || member->status->isPrimary || member->queriedAt < m_demotedAt)
        return {};
    return member->status->received;
}

std::optional<TargetName> Promotion::handoverCandidate(const Context& context) const
{
    const auto end = demotedLogEnd(context.watcher);
    if (!end)
        return {};
    const GroupWatcher::Member* best = nullptr;
    for (const auto& [name, member] : context.watcher.members()) {
        const bool isUsable = name != m_demoted && member.isListed() && member.status && !member.status->isPrimary
            && !member.health.isDown(context.now);
        if (!isUsable || member.queriedAt < m_demotedAt)
            continue;
        // A member of a later term follows a primary that this host does not know.
        if (member.status->term > m_replacedTerm || member.status->received < *end)
            continue;
        if (!best || suitability(member) > suitability(*best))
            best = &member;
    }
    if (!best)
        return {};
    return best->record.name;
}

bool Promotion::isHandoverReady(const Context& context) const
{
    return !isLeaseEnding(context) && !isSuperseded(context) && handoverCandidate(context);
}

bool Promotion::hasHandoverStalled(const Context& context) const
{
    return context.now - m_demotedAt >= handoverTimeout;
}

bool Promotion::isHandoverPollDue(const Context& context) const
{
    const auto interval = demotedLogEnd(context.watcher) ? handoverPollInterval : commandRetryInterval;
    return context.now - m_commandedAt >= interval;
}

bool Promotion::mayHandOver(const Context& context) const
{
    if (!m_demoted || isLeaseEnding(context) || isSuperseded(context))
        return false;
    const auto* const candidate = context.watcher.find(*m_recordedCandidate);
    const auto end = demotedLogEnd(context.watcher);
    return candidate && end && candidate->status->received >= *end;
}

bool Promotion::isCandidateRecorded(const Context& context) const
{
    return hasEnoughFenced(context) && m_recordedCandidate && chooseFenced(context) == m_recordedCandidate;
}

bool Promotion::mayFence(const GroupWatcher& watcher, const TargetName& name, const GroupWatcher::Member& member)
{
    return name != watcher.primary() && (member.isListed() || !member.endedAt);
}

void Promotion::fenceMembers(Context& context)
{
    m_commandedAt = context.now;
    if (m_demoted)
        log(LogEvent::HandoverStalled,
            { { "primary", m_demoted->value() }, { "token", std::to_string(m_token.value()) } });
    m_demoted.reset();
    if (!m_isListFresh && !m_isReadingMembers) {
        m_isReadingMembers = true;
        m_delegate.readMembers(m_group);
    }
    for (const auto& [name, member] : context.watcher.members()) {
        const bool isFenced = member.status && member.status->fencedTerm == m_term;
        if (mayFence(context.watcher, name, member) && !isFenced)
            m_delegate.sendCommand(name, FenceReplica { m_term }, leaseUsableUntil());
    }
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
    return { isPending, !m_notRunning.contains(name), member.isListed(), !member.record.isLeaving };
}

std::optional<TargetName> Promotion::chooseFenced(const Context& context) const
{
    const auto fenced = fencedMembers(context.watcher);
    if (fenced.empty())
        return {};
    // A promotion that may still take effect would undo that of another member.
    if (m_pending && fenced.contains(m_pending->candidate)) {
        const auto* const pending = context.watcher.find(m_pending->candidate);
        if (pending->status->received >= requiredLogEnd(context.watcher, fenced))
            return m_pending->candidate;
    }
    const GroupWatcher::Member* best = nullptr;
    for (const auto& name : fenced) {
        const auto* const member = context.watcher.find(name);
        const auto rank = [this](const GroupWatcher::Member& ranked) {
            return std::tuple(ranked.status->received, suitability(ranked));
        };
        if (!best || rank(*member) > rank(*best))
            best = member;
    }
    return best->record.name;
}

void Promotion::callPromotion(Context& context)
{
    m_candidate = m_recordedCandidate;
    const auto& status = *context.watcher.find(*m_candidate)->status;
    const auto fenced = fencedMembers(context.watcher);
    std::vector<LogField> fields { { "target", m_candidate->value() }, { "token", std::to_string(m_token.value()) },
        { "received", PromotionLog::describe(status.received) }, { "term", std::to_string(m_term.value()) },
        { "trouble", std::string(toString(m_failoverReason)) } };
    PromotionLog::appendEvidence(fields, context.now, context.watcher, fenced.size());
    log(LogEvent::PromotionRequested, std::move(fields));
    m_trace.recordCall(context.now, context.watcher, *m_candidate, m_token, fenced);
    m_delegate.promote(m_group, *m_candidate, m_token, callDeadline());
}

void Promotion::demoteFormerPrimary(Context& context)
{
    m_commandedAt = context.now;
    for (const auto& [name, member] : context.watcher.members()) {
        // The platform's next term may be lower than the term of the fences.
        const bool isFormerPrimary = member.status && member.status->isPrimary && member.status->term <= m_replacedTerm;
        if (isFormerPrimary && name != m_candidate && !member.health.isSuspect(context.now))
            m_delegate.sendCommand(name, DemotePrimary { m_term }, Instant::max());
    }
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
            && status->term <= m_replacedTerm)
            m_delegate.sendCommand(name, FenceReplica { m_term }, leaseUsableUntil());
    }
}

void Promotion::joinMembers(Context& context)
{
    m_commandedAt = context.now;
    if (!m_finishingSince)
        m_finishingSince = context.now;
    m_pending.reset();
    m_notRunning.clear();
    m_hasDemotedPrimary = false;
    // A member that is resumed while the former primary is still primary could follow it again and let it complete
    // commits.
    bool hasFormerPrimary = false;
    for (const auto& [name, member] : context.watcher.members()) {
        const bool isFormerPrimary = member.status && member.status->isPrimary && name != context.watcher.primary();
        if (!isFormerPrimary || member.health.isSuspect(context.now))
            continue;
        hasFormerPrimary = true;
        m_delegate.sendCommand(name, DemotePrimary { context.watcher.primaryTerm() }, Instant::max());
    }
    for (const auto& [name, member] : context.watcher.members()) {
        if (!hasFormerPrimary && name != context.watcher.primary() && mayResume(member))
            m_delegate.sendCommand(name, ResumeReplica {}, leaseUsableUntil());
    }
}

void Promotion::abandonAttempt(Context& context)
{
    // What this attempt recorded was not called for.
    if (m_hasRecorded)
        m_pending = m_earlierPending;
    if (!isPromotionPending(context)) {
        for (const auto& name : fencedMembers(context.watcher))
            m_delegate.sendCommand(name, ResumeReplica {}, leaseUsableUntil());
    }
    delayRetry(context);
}

void Promotion::renewLeaseForResume(Context&)
{
    m_goal = PromotionGoal::ResumeMembers;
}

void Promotion::logAbandonment(std::string_view event, std::string_view before, const Context& context)
{
    const bool isAttempt = before == "Fencing" || before == "Verifying";
    const bool isCalled = before == "Calling" || before == "Awaiting";
    const bool isSuperseded = isAttempt && m_runner.isIn("Finishing");
    if (!isSuperseded && !((isAttempt || isCalled) && m_runner.isIn("Delaying")))
        return;
    std::string_view why = isSuperseded ? "superseded" : "lease_ending";
    if (before == "Awaiting")
        why = "no_effect";
    else if (before == "Calling")
        why = event == "notRunning" ? "not_running" : "not_done";
    std::vector<LogField> fields { { "token", std::to_string(m_token.value()) },
        { "term", std::to_string(m_term.value()) }, { "why", std::string(why) },
        { "trouble", std::string(toString(m_failoverReason)) },
        { "candidate", isCalled ? m_candidate->value() : "-" } };
    PromotionLog::appendEvidence(fields, context.now, context.watcher, fencedMembers(context.watcher).size());
    log(LogEvent::FailoverAbandoned, std::move(fields));
    if (before == "Calling")
        m_trace.recordRefusal(m_token);
    m_trace.recordAbandonment(context.now, before == "Awaiting");
}

void Promotion::log(LogEvent event, std::vector<LogField> fields) const
{
    fields.insert(fields.begin(), { "group", m_group.value() });
    m_delegate.log({ event, std::move(fields) });
}

} // namespace Auburnpost::Proxy
