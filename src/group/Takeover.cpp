#include "group/Takeover.h"

#include "chart/EmbeddedCharts.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    std::vector<LogField> attemptFields(Term term, const std::string& candidate)
    {
        return { { "term", std::to_string(term.value()) }, { "candidate", candidate } };
    }

} // namespace

Takeover::Runner Takeover::makeRunner()
{
    Runner::Bindings bindings;
    bindings.guards = { { "writesDrained", &Takeover::writesDrained },
        { "drainLimitPassed", &Takeover::drainLimitPassed }, { "chosenCaughtUp", &Takeover::chosenCaughtUp },
        { "catchUpLimitPassed", &Takeover::catchUpLimitPassed }, { "majorityFenced", &Takeover::majorityFenced },
        { "retryDue", &Takeover::retryDue }, { "stepLimitPassed", &Takeover::stepLimitPassed } };
    bindings.actions = { { "drainWrites", &Takeover::drainWrites }, { "resumeWrites", &Takeover::resumeWrites },
        { "markPrimaryEnd", &Takeover::markPrimaryEnd }, { "fenceMembers", &Takeover::fenceMembers },
        { "fenceAgain", &Takeover::fenceAgain }, { "promoteBest", &Takeover::promoteBest },
        { "promoteAgain", &Takeover::promoteAgain }, { "announcePrimary", &Takeover::announcePrimary },
        { "giveUp", &Takeover::giveUp } };
    const auto chart = Chart::StateChart::parse("takeover", Chart::embeddedChart("takeover"));
    AUBURNPOST_INVARIANT(chart, "takeover.scxml can't be read");
    auto runner = Runner::bind(*chart, std::move(bindings));
    AUBURNPOST_INVARIANT(runner, "takeover.scxml is not bound");
    return std::move(*runner);
}

Takeover::Takeover(HostName self, Incarnation incarnation, const GroupSettings& settings)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(&settings)
    , m_runner(makeRunner())
{
}

void Takeover::startAttempt(TakeoverContext context)
{
    if (!isIdle())
        return;
    m_preferred.reset();
    fire("startAttempt", context);
}

void Takeover::startSwitch(TakeoverContext context, const TargetName& to)
{
    if (!isIdle() || !context.members.primary())
        return;
    m_preferred = to;
    context.outbox.log(LogEvent::SwitchStarted, { { "target", to.value() } });
    fire("startSwitch", context);
}

void Takeover::answered(TakeoverContext context, const PendingCommand& pending, const GroupStatus& status)
{
    if (!isAttempting() || pending.command.candidate != m_candidate)
        return;
    const auto superseded = !status.accepted && status.fencedTerm >= m_term;
    if (superseded) {
        fire("superseded", context);
        return;
    }
    if (pending.purpose == CommandPurpose::Promote) {
        if (status.accepted)
            fire("promoted", context);
        return;
    }
    takeFenceAnswer(context, pending.target, status);
}

void Takeover::takeFenceAnswer(TakeoverContext& context, const TargetName& target, const GroupStatus& status)
{
    if (!status.accepted || !m_runner.isIn("Fencing"))
        return;
    m_accepted[target] = status.end;
    fire("progress", context);
}

void Takeover::drained(TakeoverContext context, const HostName& from, SwitchId id)
{
    if (m_draining != id)
        return;
    m_drained.insert(from);
    fire("progress", context);
}

void Takeover::primaryLearned(TakeoverContext context)
{
    const auto learnt = context.members.primaryTerm();
    if (m_runner.isIn("Switching"))
        fire("termChanged", context);
    else if (isAttempting() && learnt == m_term)
        fire("promoted", context);
    else if (isAttempting() && learnt > m_term)
        fire("superseded", context);
}

void Takeover::tick(TakeoverContext context, bool primaryFailed)
{
    if (primaryFailed)
        fire("primaryFailed", context);
    fire("progress", context);
}

bool Takeover::writesDrained(const TakeoverContext& context) const
{
    return std::all_of(context.votes.watchers().begin(), context.votes.watchers().end(),
        [this](const HostName& watcher) { return m_drained.contains(watcher); });
}

bool Takeover::drainLimitPassed(const TakeoverContext& context) const
{
    return context.now - m_stepSince >= m_settings->drainLimit;
}

bool Takeover::chosenCaughtUp(const TakeoverContext& context) const
{
    const auto& primary = context.members.primary();
    const auto* const from = primary ? context.members.find(primary->target) : nullptr;
    const auto* const to = m_preferred ? context.members.find(*m_preferred) : nullptr;
    if (!from || !to || !from->standing || !to->standing || from->sentAt <= m_stepSince)
        return false;
    return to->standing->end >= from->standing->end;
}

bool Takeover::catchUpLimitPassed(const TakeoverContext& context) const
{
    return context.now - m_stepSince >= m_settings->catchUpLimit;
}

bool Takeover::majorityFenced(const TakeoverContext& context) const
{
    if (m_accepted.size() < context.members.majority())
        return false;
    return !m_preferred || m_accepted.contains(*m_preferred) || preferredIsOut(context);
}

bool Takeover::preferredIsOut(const TakeoverContext& context) const
{
    return context.now - m_stepSince >= m_settings->attemptRetry * 2;
}

bool Takeover::retryDue(const TakeoverContext& context) const
{
    return context.now - m_lastSent >= m_settings->attemptRetry && !stepLimitPassed(context);
}

bool Takeover::stepLimitPassed(const TakeoverContext& context) const
{
    return context.now - m_stepSince >= m_settings->attemptStepLimit;
}

void Takeover::drainWrites(TakeoverContext& context)
{
    m_stepSince = context.now;
    m_drained.clear();
    m_draining = SwitchId(++m_lastSwitch);
    context.outbox.push(DrainWrites { *m_draining, context.votes.watchers(),
        m_settings->drainLimit + m_settings->catchUpLimit + m_settings->attemptStepLimit * 2 });
}

void Takeover::resumeWrites(TakeoverContext& context)
{
    if (!m_draining)
        return;
    context.outbox.push(ResumeWrites { *m_draining, context.votes.watchers() });
    m_draining.reset();
}

void Takeover::markPrimaryEnd(TakeoverContext& context)
{
    m_stepSince = context.now;
}

void Takeover::fenceMembers(TakeoverContext& context)
{
    ++m_attempts;
    m_term = Term(std::max({ context.members.highestTerm(), context.votes.highestTerm(), m_term }).value() + 1);
    m_candidate = m_self.value() + "#" + std::to_string(m_incarnation.value()) + "#" + std::to_string(m_attempts);
    m_accepted.clear();
    m_promoted.reset();
    m_stepSince = context.now;
    context.outbox.log(LogEvent::TakeoverStarted, attemptFields(m_term, m_candidate));
    fenceAgain(context);
}

void Takeover::fenceAgain(TakeoverContext& context)
{
    m_lastSent = context.now;
    for (const auto& member : context.members.members()) {
        if (!m_accepted.contains(member.identity.target))
            sendFence(context, member.identity.target);
    }
}

void Takeover::sendFence(TakeoverContext& context, const TargetName& target)
{
    GroupCommand command;
    command.operation = GroupOperation::Fence;
    command.term = m_term;
    command.candidate = m_candidate;
    context.outbox.send(context.now, target, command, CommandPurpose::Fence);
}

void Takeover::promoteBest(TakeoverContext& context)
{
    const auto better = [this](const auto& left, const auto& right) {
        if (left.second != right.second)
            return left.second < right.second;
        return left.first != m_preferred && right.first == m_preferred;
    };
    m_stepSince = context.now;
    AUBURNPOST_INVARIANT(m_accepted.size() >= context.members.majority(), "promotion without a fenced majority");
    AUBURNPOST_INVARIANT(!m_promoted, "a candidate promotes a second target");
    m_promoted = std::max_element(m_accepted.begin(), m_accepted.end(), better)->first;
    sendPromote(context);
}

void Takeover::promoteAgain(TakeoverContext& context)
{
    sendPromote(context);
}

void Takeover::sendPromote(TakeoverContext& context)
{
    m_lastSent = context.now;
    GroupCommand command;
    command.operation = GroupOperation::Promote;
    command.term = m_term;
    command.candidate = m_candidate;
    context.outbox.send(context.now, *m_promoted, command, CommandPurpose::Promote);
}

void Takeover::announcePrimary(TakeoverContext& context)
{
    ++m_promotions;
    m_failuresInRow = 0;
    auto fields = attemptFields(m_term, m_candidate);
    fields.push_back({ "target", m_promoted->value() });
    context.outbox.log(m_preferred ? LogEvent::SwitchDone : LogEvent::PrimaryPromoted, std::move(fields));
}

void Takeover::giveUp(TakeoverContext& context)
{
    ++m_failuresInRow;
    context.outbox.log(LogEvent::TakeoverGivenUp, attemptFields(m_term, m_candidate));
}

} // namespace Auburnpost::Group
