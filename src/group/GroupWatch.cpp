#include "group/GroupWatch.h"

#include "group/GroupState.h"

namespace Auburnpost::Group {

std::string_view toString(NoProofReason reason)
{
    return reason == NoProofReason::TermChanged ? "term_changed" : "deadline_exceeded";
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
    state.detector.running(now);
    state.expire(now);
    if (state.takeover.isCatchingUp())
        state.probes.hurry();
    state.probes.tick(now, state.outbox, state.members);
    state.govern(now, random);
    state.durability.tick(now, state.outbox, state.members);
    state.confirmations.tick(now, state.outbox, state.members, state.durability.isOpen());
    return state.outbox.release();
}

GroupActions GroupWatch::status(
    Instant now, const TargetName& target, CorrelationId correlation, const GroupStatus& status)
{
    if (const auto pending = m_state->outbox.take(target, correlation))
        m_state->answered(now, *pending, status);
    return m_state->outbox.release();
}

GroupActions GroupWatch::commandFailed(
    Instant now, const TargetName& target, CorrelationId correlation, const Error& error)
{
    if (const auto pending = m_state->outbox.take(target, correlation))
        m_state->failed(now, *pending, error.code);
    return m_state->outbox.release();
}

GroupActions GroupWatch::standing(Instant now, const TargetName& target, Instant sentAt, const TargetStanding& standing)
{
    m_state->observe(now, target, sentAt, standing);
    return m_state->outbox.release();
}

GroupActions GroupWatch::vote(Instant now, const HostName& from, const WatchVote& vote)
{
    auto& state = *m_state;
    state.votes.record(now, from, vote);
    // A hint only: the primary is learnt from the targets themselves.
    if (vote.term > state.members.primaryTerm()) {
        state.probes.hurry();
        state.probes.tick(now, state.outbox, state.members);
    }
    return state.outbox.release();
}

GroupActions GroupWatch::setWatchers(Instant, std::vector<HostName> watchers)
{
    m_state->votes.setWatchers(std::move(watchers));
    return m_state->outbox.release();
}

GroupActions GroupWatch::setMembers(Instant, std::vector<GroupMember> members)
{
    m_state->members.setMembers(std::move(members));
    return m_state->outbox.release();
}

GroupActions GroupWatch::setLeaving(Instant, std::set<TargetName> leaving)
{
    m_state->planner.setLeaving(std::move(leaving));
    return m_state->outbox.release();
}

GroupActions GroupWatch::requestSwitch(Instant, const TargetName& to)
{
    m_state->planner.request(to);
    return m_state->outbox.release();
}

GroupActions GroupWatch::drainRequested(Instant now, const HostName& from)
{
    if (from != m_state->self)
        m_state->planner.otherSwitchSeen(now);
    return m_state->outbox.release();
}

GroupActions GroupWatch::drained(Instant now, const HostName& from, SwitchId id)
{
    m_state->takeover.drained(m_state->takeoverContext(now), from, id);
    return m_state->outbox.release();
}

GroupActions GroupWatch::awaitDurable(Instant now, WaitId id, const LogPoint& point, Instant deadline)
{
    m_state->durability.await(now, m_state->outbox, m_state->members, id, point, deadline);
    return m_state->outbox.release();
}

GroupActions GroupWatch::confirm(Instant now, ConfirmId id, Instant deadline)
{
    m_state->confirmations.await(now, m_state->outbox, m_state->members, id, deadline);
    return m_state->outbox.release();
}

std::optional<PrimaryView> GroupWatch::primary(Instant now) const
{
    const auto& primary = m_state->members.primary();
    if (!primary)
        return std::nullopt;
    const auto suspected = m_state->detector.suspicion(now, m_state->members) != Suspicion::None;
    return PrimaryView { primary->target, primary->term, m_state->durability.isOpen(), suspected };
}

std::optional<Duration> GroupWatch::ageOf(Instant now, const LogPoint& end) const
{
    return m_state->ages.ageOf(now, end);
}

std::optional<TargetStanding> GroupWatch::standingOf(const TargetName& target) const
{
    const auto* const member = m_state->members.find(target);
    return member ? member->standing : std::nullopt;
}

LogPoint GroupWatch::durablePoint() const
{
    return m_state->durability.durablePoint();
}

std::vector<MemberView> GroupWatch::members(Instant now) const
{
    std::vector<MemberView> views;
    for (const auto& member : m_state->members.members()) {
        const auto reachable
            = member.heardAt && now - *member.heardAt <= m_state->settings.silenceLimit && member.refusedInRow == 0;
        views.push_back({ member.identity, member.standing, member.sentAt, member.heardAt, reachable,
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
    dump.takeoverState = state.takeover.state();
    dump.suspicion = toString(state.suspicion);
    dump.durablePoint = state.durability.durablePoint();
    dump.durabilityWaits = state.durability.waiting();
    dump.confirmationWaits = state.confirmations.waiting();
    dump.commandsInFlight = state.outbox.inFlight();
    dump.ageSamples = state.ages.samples();
    dump.attempts = state.takeover.attempts();
    dump.promotions = state.takeover.promotions();
    return dump;
}

const DatabaseName& GroupWatch::database() const
{
    return m_state->database;
}

} // namespace Auburnpost::Group
