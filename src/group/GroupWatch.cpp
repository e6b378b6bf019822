#include "group/GroupWatch.h"

#include "group/GroupState.h"

namespace Auburnpost::Group {

std::string_view toString(WaitFailureReason reason)
{
    return reason == WaitFailureReason::TermChanged ? "term_changed" : "deadline_exceeded";
}

GroupWatch::GroupWatch(Instant now, DatabaseName database, HostName self, Incarnation incarnation,
    std::vector<GroupMember> members, const GroupSettings& settings)
    : m_state(std::make_unique<GroupState>(
        now, std::move(database), std::move(self), incarnation, std::move(members), settings))
{
}

GroupWatch::~GroupWatch() = default;
GroupWatch::GroupWatch(GroupWatch&&) noexcept = default;
GroupWatch& GroupWatch::operator=(GroupWatch&&) noexcept = default;

GroupActions GroupWatch::tick(Instant now, RandomEngine& random)
{
    auto& state = *m_state;
    state.detector.recordRun(now);
    state.expireCommands(now);
    if (state.failover.isCatchingUp())
        state.probes.probeAllNow();
    state.probes.tick(now, state.outbox, state.members);
    state.supervise(now, random);
    state.durability.tick(now, state.outbox, state.members);
    state.confirmations.tick(now, state.outbox, state.members, state.durability.isOpen());
    return state.outbox.takeActions();
}

GroupActions GroupWatch::handleCommandAnswer(
    Instant now, const TargetName& target, CorrelationId correlation, const GroupStatus& status)
{
    if (const auto pending = m_state->outbox.complete(target, correlation))
        m_state->handleAnswer(now, *pending, status);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::handleCommandFailure(
    Instant now, const TargetName& target, CorrelationId correlation, const Error& error)
{
    if (const auto pending = m_state->outbox.complete(target, correlation))
        m_state->handleFailure(now, *pending, error.code);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::handleTargetStatus(
    Instant now, const TargetName& target, Instant sentAt, const TargetStatus& targetStatus)
{
    m_state->recordTargetStatus(now, target, sentAt, targetStatus);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::handleVote(Instant now, const HostName& from, const WatcherVote& vote)
{
    auto& state = *m_state;
    state.votes.record(now, from, vote);
    // The term is only a hint: the targets themselves report which one is primary.
    if (vote.term > state.members.primaryTerm()) {
        state.probes.probeAllNow();
        state.probes.tick(now, state.outbox, state.members);
    }
    return state.outbox.takeActions();
}

GroupActions GroupWatch::setWatchers(Instant, std::vector<HostName> watchers)
{
    m_state->votes.setWatchers(std::move(watchers));
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::setMembers(Instant, std::vector<GroupMember> members)
{
    m_state->members.setMembers(std::move(members));
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::setLeaving(Instant, std::set<TargetName> leaving)
{
    m_state->planner.setLeaving(std::move(leaving));
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::requestSwitchover(Instant, const TargetName& to)
{
    m_state->planner.request(to);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::handleDrainRequest(Instant now, const HostName& from)
{
    if (from != m_state->self)
        m_state->planner.holdForOther(now);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::recordDrained(Instant now, const HostName& from, SwitchoverId id)
{
    m_state->failover.recordDrained(m_state->failoverContext(now), from, id);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::awaitDurable(Instant now, WaitId id, const LogPoint& point, Instant deadline)
{
    m_state->durability.addWait(now, m_state->outbox, m_state->members, id, point, deadline);
    return m_state->outbox.takeActions();
}

GroupActions GroupWatch::confirm(Instant now, ConfirmationId id, Instant deadline)
{
    m_state->confirmations.add(now, m_state->outbox, m_state->members, id, deadline);
    return m_state->outbox.takeActions();
}

std::optional<PrimaryView> GroupWatch::primary(Instant now) const
{
    const auto& primary = m_state->members.primary();
    if (!primary)
        return std::nullopt;
    const auto isSuspected = m_state->detector.suspicion(now, m_state->members) != Suspicion::None;
    return PrimaryView { primary->target, primary->term, m_state->durability.isOpen(), isSuspected };
}

std::optional<Duration> GroupWatch::ageOf(Instant now, const LogPoint& end) const
{
    return m_state->ages.ageOf(now, end);
}

std::optional<TargetStatus> GroupWatch::statusOf(const TargetName& target) const
{
    const auto* const member = m_state->members.find(target);
    return member ? member->lastStatus : std::nullopt;
}

LogPoint GroupWatch::durablePoint() const
{
    return m_state->durability.durablePoint();
}

std::vector<MemberView> GroupWatch::members(Instant now) const
{
    std::vector<MemberView> views;
    for (const auto& member : m_state->members.members()) {
        const auto isReachable = member.lastResponseAt
            && now - *member.lastResponseAt <= m_state->settings.responseTimeout && member.refusalsInRow == 0;
        views.push_back({ member.identity, member.lastStatus, member.sentAt, member.lastResponseAt, isReachable,
            m_state->planner.isLeaving(member.identity.target) });
    }
    return views;
}

GroupDump GroupWatch::dump(Instant now) const
{
    const auto& state = *m_state;
    GroupDump dump;
    dump.database = state.database;
    dump.primary = primary(now);
    dump.members = members(now);
    dump.watchers = state.votes.watchers();
    dump.failoverState = state.failover.state();
    dump.suspicion = toString(state.suspicion);
    dump.durablePoint = state.durability.durablePoint();
    dump.durabilityWaits = state.durability.waiting();
    dump.confirmationWaits = state.confirmations.waiting();
    dump.commandsInFlight = state.outbox.inFlight();
    dump.ageSamples = state.ages.samples();
    dump.attempts = state.failover.attempts();
    dump.promotions = state.failover.promotions();
    return dump;
}

const DatabaseName& GroupWatch::database() const
{
    return m_state->database;
}

} // namespace Auburnpost::Group
