#include "group/GroupState.h"

namespace Auburnpost::Group {

GroupState::GroupState(Instant now, DatabaseName databaseName, HostName selfName, Incarnation incarnation,
    std::vector<GroupMember> groupMembers, const GroupSettings& groupSettings)
    : settings(groupSettings)
    , database(std::move(databaseName))
    , self(std::move(selfName))
    , members(std::move(groupMembers))
    , votes(self, settings)
    , detector(now, settings)
    , probes(settings)
    , voteSender(self, incarnation, settings)
    , trigger(settings)
    , takeover(self, incarnation, settings)
    , planner(settings)
    , follow(settings)
    , durability(settings)
{
}

TakeoverContext GroupState::takeoverContext(Instant now)
{
    return { now, outbox, members, votes };
}

void GroupState::observe(Instant now, const TargetName& target, Instant sentAt, const TargetStanding& standing)
{
    if (!members.find(target))
        return;
    if (members.record(now, target, sentAt, standing))
        primaryLearned(now);
    if (standing.role == TargetRole::Primary)
        ages.samplePrimary(sentAt, standing.end);
    if (const auto moment = members.unreplacedAt(members.primaryTerm()))
        ages.notReplaced(members.primaryTerm(), *moment);
    durability.observe(now, outbox, members, target, standing.end);
}

void GroupState::primaryLearned(Instant now)
{
    const auto& primary = *members.primary();
    const auto promotions = takeover.promotions();
    detector.primaryChanged(now);
    votes.primaryLearned(now, primary.term);
    outbox.push(PrimaryLearned { primary.term, primary.target });
    outbox.log(LogEvent::PrimaryLearned,
        { { "database", database.value() }, { "target", primary.target.value() },
            { "term", std::to_string(primary.term.value()) } });
    takeover.primaryLearned(takeoverContext(now));
    takeover.clearFailures();
    durability.primaryLearned(now, outbox, members);
    probes.hurry();
    updateSuspicion(now);
    voteSender.cast(now, outbox, votes, members.primary(), suspicion != Suspicion::None);
    if (takeover.promotions() > promotions)
        follow.followAll(now, outbox, members);
}

void GroupState::answered(Instant now, const PendingCommand& pending, const GroupStatus& status)
{
    observe(now, pending.target, pending.sentAt, { status.fencedTerm, status.end, status.role });
    members.recordFollowing(pending.target, pending.sentAt, status.following);
    if (pending.purpose == CommandPurpose::Fence || pending.purpose == CommandPurpose::Promote)
        takeover.answered(takeoverContext(now), pending, status);
    if (pending.purpose == CommandPurpose::Wait && !status.accepted)
        durability.waitFailed(now, pending.target);
    confirmations.answered(now, outbox, members, pending, status, durability.isOpen());
}

void GroupState::failed(Instant now, const PendingCommand& pending, ErrorCode code)
{
    const auto& target = pending.target;
    if (code == ErrorCode::TooManyConnections || code == ErrorCode::Leaving)
        members.recordAlive(now, target);
    else if (code == ErrorCode::ConnectionRefused && pending.purpose == CommandPurpose::Probe)
        members.recordRefusal(target);
    if (pending.purpose == CommandPurpose::Probe)
        probes.failed(now, target);
    if (pending.purpose == CommandPurpose::Wait)
        durability.waitFailed(now, target);
}

void GroupState::expire(Instant now)
{
    for (const auto& pending : outbox.expire(now - settings.commandLimit))
        failed(now, pending, ErrorCode::DeadlineExceeded);
}

void GroupState::updateSuspicion(Instant now)
{
    const auto previous = suspicion;
    suspicion = detector.suspicion(now, members);
    if (suspicion == previous || suspicion == Suspicion::None)
        return;
    const auto primary = members.primary().value_or(KnownPrimary {});
    outbox.log(LogEvent::PrimarySuspected,
        { { "database", database.value() }, { "target", primary.target.value() },
            { "reason", std::string(toString(suspicion)) } });
}

void GroupState::govern(Instant now, RandomEngine& random)
{
    updateSuspicion(now);
    const auto suspected = suspicion != Suspicion::None;
    voteSender.cast(now, outbox, votes, members.primary(), suspected);
    takeover.tick(takeoverContext(now), suspected);
    if (trigger.due(now, random, votes, members, takeover))
        takeover.startAttempt(takeoverContext(now));
    if (!votes.isWatcher())
        return;
    const auto target = takeover.isIdle() && !suspected ? planner.due(now, members, votes.rank()) : std::nullopt;
    if (target)
        takeover.startSwitch(takeoverContext(now), *target);
    if (!takeover.isAttempting())
        follow.tick(now, outbox, members, votes.rank());
}

} // namespace Auburnpost::Group
