#include "group/Failover.h"

#include "chart/EmbeddedCharts.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    std::vector<LogField> attemptFields(Term term, const std::string& candidate)
    {
        return { { "term", std::to_string(term.value()) }, { "candidate", candidate } };
    }

} // namespace

Failover::Runner Failover::makeRunner()
{
    Runner::Bindings bindings;
    bindings.guards = { { "writesDrained", &Failover::writesDrained },
        { "drainLimitPassed", &Failover::drainLimitPassed }, { "chosenCaughtUp", &Failover::chosenCaughtUp },
        { "catchUpLimitPassed", &Failover::catchUpLimitPassed }, { "majorityFenced", &Failover::majorityFenced },
        { "retryDue", &Failover::retryDue }, { "stepLimitPassed", &Failover::stepLimitPassed } };
    bindings.actions = { { "drainWrites", &Failover::drainWrites }, { "resumeWrites", &Failover::resumeWrites },
        { "markPrimaryEnd", &Failover::startCatchUp }, { "fenceMembers", &Failover::fenceMembers },
        { "fenceAgain", &Failover::fenceAgain }, { "promoteBest", &Failover::promoteBest },
        { "promoteAgain", &Failover::promoteAgain }, { "announcePrimary", &Failover::recordPromotion },
        { "giveUp", &Failover::abandonAttempt } };
    const auto chart = Chart::StateChart::parse("takeover", Chart::embeddedChart("takeover"));
    AUBURNPOST_INVARIANT(chart, "takeover.scxml is not a valid chart");
    auto runner = Runner::bind(*chart, std::move(bindings));
    AUBURNPOST_INVARIANT(runner, "takeover.scxml names an unbound guard or action");
    return std::move(*runner);
}

Failover::Failover(HostName self, Incarnation incarnation, const GroupSettings& settings)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(&settings)
    , m_runner(makeRunner())
{
}

void Failover::startAttempt(FailoverContext context)
{
    if (!isIdle())
        return;
    m_preferredTarget.reset();
    fire("startAttempt", context);
}

void Failover::startSwitchover(FailoverContext context, const TargetName& to)
{
    if (!isIdle() || !context.members.primary())
        return;
    m_preferredTarget = to;
    context.outbox.log(LogEvent::SwitchoverStarted, { { "target", to.value() } });
    fire("startSwitch", context);
}

void Failover::handleAnswer(FailoverContext context, const PendingCommand& pending, const GroupStatus& status)
{
    if (!isAttempting() || pending.command.candidate != m_candidate)
        return;
    const auto isSuperseded = !status.accepted && status.fencedTerm >= m_term;
    if (isSuperseded) {
        fire("superseded", context);
        return;
    }
    if (pending.purpose == CommandPurpose::Promote) {
        if (status.accepted)
            fire("promoted", context);
        return;
    }
    handleFenceAnswer(context, pending.target, status);
}

void Failover::handleFenceAnswer(FailoverContext& context, const TargetName& target, const GroupStatus& status)
{
    if (!status.accepted || !m_runner.isIn("Fencing"))
        return;
    m_fenced[target] = status.end;
    fire("progress", context);
}

void Failover::recordDrained(FailoverContext context, const HostName& from, SwitchoverId id)
{
    if (m_draining != id)
        return;
    m_drainedWatchers.insert(from);
    fire("progress", context);
}

void Failover::handleNewPrimary(FailoverContext context)
{
    const auto newTerm = context.members.primaryTerm();
    if (m_runner.isIn("Switching"))
        fire("termChanged", context);
    else if (isAttempting() && newTerm == m_term)
        fire("promoted", context);
    else if (isAttempting() && newTerm > m_term)
        fire("superseded", context);
}

void Failover::tick(FailoverContext context, bool primaryFailed)
{
    if (primaryFailed)
        fire("primaryFailed", context);
    fire("progress", context);
}

bool Failover::writesDrained(const FailoverContext& context) const
{
    return std::all_of(context.votes.watchers().begin(), context.votes.watchers().end(),
        [this](const HostName& watcher) { return m_drainedWatchers.contains(watcher); });
}

bool Failover::drainLimitPassed(const FailoverContext& context) const
{
    return context.now - m_stepStartedAt >= m_settings->drainLimit;
}

bool Failover::chosenCaughtUp(const FailoverContext& context) const
{
    const auto& primary = context.members.primary();
    const auto* const from = primary ? context.members.find(primary->target) : nullptr;
    const auto* const to = m_preferredTarget ? context.members.find(*m_preferredTarget) : nullptr;
    if (!from || !to || !from->lastStatus || !to->lastStatus || from->sentAt <= m_stepStartedAt)
        return false;
    return to->lastStatus->end >= from->lastStatus->end;
}

bool Failover::catchUpLimitPassed(const FailoverContext& context) const
{
    return context.now - m_stepStartedAt >= m_settings->catchUpLimit;
}

bool Failover::majorityFenced(const FailoverContext& context) const
{
    if (m_fenced.size() < context.members.majority())
        return false;
    return !m_preferredTarget || m_fenced.contains(*m_preferredTarget) || hasPreferredTimedOut(context);
}

bool Failover::hasPreferredTimedOut(const FailoverContext& context) const
{
    return context.now - m_stepStartedAt >= m_settings->attemptRetry * 2;
}

bool Failover::retryDue(const FailoverContext& context) const
{
    return context.now - m_lastSentAt >= m_settings->attemptRetry && !stepLimitPassed(context);
}

bool Failover::stepLimitPassed(const FailoverContext& context) const
{
    return context.now - m_stepStartedAt >= m_settings->attemptStepLimit;
}

void Failover::drainWrites(FailoverContext& context)
{
    m_stepStartedAt = context.now;
    m_drainedWatchers.clear();
    m_draining = SwitchoverId(++m_lastSwitchover);
    context.outbox.push(DrainWrites { *m_draining, context.votes.watchers(),
        m_settings->drainLimit + m_settings->catchUpLimit + m_settings->attemptStepLimit * 2 });
}

void Failover::resumeWrites(FailoverContext& context)
{
    if (!m_draining)
        return;
    context.outbox.push(ResumeWrites { *m_draining, context.votes.watchers() });
    m_draining.reset();
}

void Failover::startCatchUp(FailoverContext& context)
{
    m_stepStartedAt = context.now;
}

void Failover::fenceMembers(FailoverContext& context)
{
    ++m_attempts;
    m_term = Term(std::max({ context.members.highestTerm(), context.votes.highestTerm(), m_term }).value() + 1);
    m_candidate = m_self.value() + "#" + std::to_string(m_incarnation.value()) + "#" + std::to_string(m_attempts);
    m_fenced.clear();
    m_promotedTarget.reset();
    m_stepStartedAt = context.now;
    context.outbox.log(LogEvent::FailoverStarted, attemptFields(m_term, m_candidate));
    fenceAgain(context);
}

void Failover::fenceAgain(FailoverContext& context)
{
    m_lastSentAt = context.now;
    for (const auto& member : context.members.members()) {
        if (!m_fenced.contains(member.identity.target))
            sendFence(context, member.identity.target);
    }
}

void Failover::sendFence(FailoverContext& context, const TargetName& target)
{
    GroupCommand command;
    command.operation = GroupOperation::Fence;
    command.term = m_term;
    command.candidate = m_candidate;
    context.outbox.send(context.now, target, command, CommandPurpose::Fence);
}

void Failover::promoteBest(FailoverContext& context)
{
    const auto isWorse = [this](const auto& left, const auto& right) {
        if (left.second != right.second)
            return left.second < right.second;
        return left.first != m_preferredTarget && right.first == m_preferredTarget;
    };
    m_stepStartedAt = context.now;
    AUBURNPOST_INVARIANT(m_fenced.size() >= context.members.majority(), "promotion without a fenced majority");
    AUBURNPOST_INVARIANT(!m_promotedTarget, "a candidate promotes a second target");
    m_promotedTarget = std::max_element(m_fenced.begin(), m_fenced.end(), isWorse)->first;
    sendPromote(context);
}

void Failover::promoteAgain(FailoverContext& context)
{
    sendPromote(context);
}

void Failover::sendPromote(FailoverContext& context)
{
    m_lastSentAt = context.now;
    GroupCommand command;
    command.operation = GroupOperation::Promote;
    command.term = m_term;
    command.candidate = m_candidate;
    context.outbox.send(context.now, *m_promotedTarget, command, CommandPurpose::Promote);
}

void Failover::recordPromotion(FailoverContext& context)
{
    ++m_promotions;
    m_failuresInRow = 0;
    auto fields = attemptFields(m_term, m_candidate);
    fields.push_back({ "target", m_promotedTarget->value() });
    context.outbox.log(
        m_preferredTarget ? LogEvent::SwitchoverCompleted : LogEvent::PrimaryPromoted, std::move(fields));
}

void Failover::abandonAttempt(FailoverContext& context)
{
    ++m_failuresInRow;
    context.outbox.log(LogEvent::FailoverAbandoned, attemptFields(m_term, m_candidate));
}

} // namespace Auburnpost::Group
