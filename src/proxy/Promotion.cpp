#include "proxy/Promotion.h"

#include "chart/EmbeddedCharts.h"
#include "proxy/LeaseReads.h"
#include "proxy/PromotionLog.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Auburnpost::Proxy {

// A host that does not promote keeps from a primary for as long as a lease or a pending promotion may replace it.
static_assert(ReplacementGuard::successorTimeout == Promotion::leaseLifetime);
static_assert(ReplacementGuard::replacementTimeout == Promotion::pendingLifetime);
static_assert(LeaseReads::answerTimeout == Promotion::leaseStepTimeout);

namespace {

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
        { "recordsOnly", &Promotion::isRecordOnly }, { "recordLate", &Promotion::isRecordLate },
        { "superseded", &Promotion::isSuperseded }, { "claimEnds", &Promotion::isLeaseEnding },
        { "renewalDue", &Promotion::isRenewalDue }, { "enoughFenced", &Promotion::hasEnoughFenced },
        { "canHandOver", &Promotion::canHandOver }, { "handoverReady", &Promotion::isHandoverReady },
        { "handoverStalled", &Promotion::hasHandoverStalled }, { "handoverPollDue", &Promotion::isHandoverPollDue },
        { "handsOver", &Promotion::mayHandOver }, { "candidateRecorded", &Promotion::isCandidateRecorded },
        { "retryDue", &Promotion::isRetryDue }, { "fencesHold", &Promotion::areFencesVerified },
        { "promotedSeen", &Promotion::isPromotionSeen }, { "awaitLimitPassed", &Promotion::hasAwaitTimedOut },
        { "allJoined", &Promotion::haveAllJoined }, { "finishLimitPassed", &Promotion::hasFinishTimedOut } };
    bindings.actions = { { "waitForHolder", &Promotion::waitForLeaseHolder }, { "delayRetry", &Promotion::delayRetry },
        { "postponeRecord", &Promotion::postponeRecord }, { "readClaim", &Promotion::readLease },
        { "writeClaim", &Promotion::writeLease }, { "fenceMembers", &Promotion::fenceMembers },
        { "askFenced", &Promotion::queryFenced }, { "closePrimaryLog", &Promotion::closePrimaryLog },
        { "startHandover", &Promotion::startHandover }, { "pollHandover", &Promotion::pollHandover },
        { "recordCandidate", &Promotion::recordCandidate }, { "postponeHandover", &Promotion::postponeHandover },
        { "callPromotion", &Promotion::callPromotion }, { "demoteFormer", &Promotion::demoteFormerPrimary },
        { "fenceAgain", &Promotion::refenceMembers }, { "joinMembers", &Promotion::joinMembers },
        { "renewForRepairs", &Promotion::renewLeaseForResume }, { "giveUp", &Promotion::abandonAttempt },
        { "withdraw", &Promotion::withdrawCandidate } };
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
    m_delayUntil = now;
    if (goal != PromotionGoal::RecordMembers) {
        std::uniform_int_distribution<Duration::rep> jitter(0, startJitter.count());
        m_delayUntil = std::max(now, m_unknownLeaseUntil) + Duration(jitter(random));
        beginReplacement(now, watcher, failoverReason);
    }
    Context context { now, watcher, failoverReason };
    fire("start", context);
}

void Promotion::storeReturned(Instant now)
{
    m_unknownLeaseUntil = now + leaseLifetime;
    m_recorder.checkAgain();
}

void Promotion::beginReplacement(Instant now, const GroupWatcher& watcher, FailoverReason failoverReason)
{
    m_replacedTerm = watcher.primaryTerm();
    m_hasDemotedPrimary = m_hasDemotedPrimary && !watcher.primary();
    m_finishingSince.reset();
    m_failoverReason = failoverReason;
    m_trace.recordSuspicion(now);
    std::vector<LogField> fields { { "trouble", std::string(toString(failoverReason)) },
        { "primary", watcher.primary() ? watcher.primary()->value() : "-" },
        { "term", std::to_string(watcher.primaryTerm().value()) } };
    PromotionLog::appendEvidence(fields, now, watcher, countFenced(watcher));
    log(LogEvent::PrimarySuspected, std::move(fields));
}

void Promotion::tick(Instant now, const GroupWatcher& watcher, FailoverReason failoverReason)
{
    m_trace.observe(now, watcher);
    if (failoverReason != FailoverReason::None)
        m_failoverReason = failoverReason;
    if (isIdle())
        return;
    // The row that is being read serves for the lease as well. Once it is being written, that has to end first.
    const bool isRecording = m_goal == PromotionGoal::RecordMembers && !m_runner.isIn("Writing");
    if (isRecording && failoverReason != FailoverReason::None) {
        m_goal = PromotionGoal::ReplacePrimary;
        beginReplacement(now, watcher, failoverReason);
    }
    Context context { now, watcher, failoverReason };
    updateEnoughFenced(context);
    fire("progress", context);
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
    if (m_recorder.read(*row))
        logRecordProblem();
    const bool isHeld = row->lease && row->lease->holder != m_self && row->lease->expiresAtMs > row->storeNowMs;
    if (m_goal == PromotionGoal::RecordMembers) {
        recordRead(context, isHeld);
        return;
    }
    if (isHeld) {
        fire("claimHeld", context);
        return;
    }
    if (now < m_unknownLeaseUntil) {
        fire("claimRefused", context);
        return;
    }
    adoptPending(context);
    const bool wasDoubted = m_failoverReason == FailoverReason::Doubted;
    if (wasDoubted && !isPromotionPending(context) && watcher.failoverReason(now) != FailoverReason::Doubted) {
        // The row shows that the primary is not being replaced.
        fire("claimRefused", context);
        return;
    }
    fire(isHandoverPostponed(context) ? "handoverPostponed" : "claimFree", context);
}

void Promotion::leaseWritten(
    Instant now, const GroupWatcher& watcher, const Expected<std::optional<RowVersion>>& version)
{
    m_isWritingRow = false;
    if (std::exchange(m_withdrawnAt, {})) {
        if (version && *version)
            m_token = **version;
        return;
    }
    const bool isRecording = m_runner.isIn("Recording");
    if (!isRecording && !m_runner.isIn("Writing"))
        return;
    Context context { now, watcher };
    // A condition of an earlier era may have held for another content of the row.
    const bool isOtherEra
        = version && *version && m_expectedVersion != RowVersion {} && (*version)->era() != m_expectedVersion.era();
    if (!version || !*version || isOtherEra) {
        fire("claimRefused", context);
        return;
    }
    if (m_writtenMembers)
        m_recorder.written(**version, *m_writtenMembers);
    if (m_goal == PromotionGoal::RecordMembers) {
        m_recorder.finish(watcher);
        log(LogEvent::MembersRecorded,
            { { "version", std::to_string((*version)->value()) },
                { "members", std::to_string(m_writtenMembers ? m_writtenMembers->members.size() : 0) } });
        fire("claimTaken", context);
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
    m_isReadOutdated = m_isReadingMembers;
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
    if (isIdle())
        return;
    Context context { now, watcher };
    if (std::exchange(m_isReadOutdated, false)) {
        readMembers(context);
        return;
    }
    if (!isKnown)
        return;
    m_isListFresh = true;
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
    if (m_goal == PromotionGoal::RecordMembers)
        return false;
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
    return context.now >= m_delayUntil && !isWithdrawing(context.now);
}

bool Promotion::isLeaseStepLate(const Context& context) const
{
    return context.now - m_stateEnteredAt >= leaseStepTimeout;
}

bool Promotion::isResumeOnly(const Context&) const
{
    return m_goal == PromotionGoal::ResumeMembers;
}

bool Promotion::isRecordOnly(const Context&) const
{
    return m_goal == PromotionGoal::RecordMembers;
}

bool Promotion::isRecordLate(const Context& context) const
{
    return isRecordOnly(context) && isLeaseStepLate(context);
}

bool Promotion::isSuperseded(const Context& context) const
{
    // What is pending is known to replace a primary of this term, though this host may have started without one.
    const auto replaced = std::max(m_replacedTerm, m_pending ? m_pending->replacedTerm : Term {});
    return context.watcher.primary() && context.watcher.primaryTerm() > replaced;
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

bool Promotion::isRetryDue(const Context& context) const
{
    // The end of the lease ends the attempt, however late the ticks are.
    const bool isEnding = m_runner.isIn("Attempt") && isLeaseEnding(context);
    return !isEnding && context.now - m_commandedAt >= commandRetryInterval;
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

void Promotion::delayRetry(Context& context)
{
    m_delayUntil = std::max<Instant>(context.now + retryDelay, m_unknownLeaseUntil);
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
        const bool isFormerPrimary = member.status && member.status->isPrimary && member.status->term <= m_formerTerm;
        if (isFormerPrimary && name != m_candidate && !member.health.isSuspect(context.now))
            m_delegate.sendCommand(name, DemotePrimary { m_term }, Instant::max());
    }
}

void Promotion::joinMembers(Context& context)
{
    m_commandedAt = context.now;
    if (!m_finishingSince)
        m_finishingSince = context.now;
    m_pending.reset();
    m_recordedCandidate.reset();
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
