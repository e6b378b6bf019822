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
    , failover(self, incarnation, settings)
    , planner(settings)
    , replication(settings)
    , durability(settings)
{
}

FailoverContext GroupState::failoverContext(Instant now)
{
    return { now, outbox, members, votes };
}

void GroupState::recordTargetStatus(
    Instant now, const TargetName& target, Instant sentAt, const TargetStatus& targetStatus)
{
    if (!members.find(target))
        return;
    if (members.recordStatus(now, target, sentAt, targetStatus))
        handleNewPrimary(now);
    if (targetStatus.role == TargetRole::Primary)
        ages.recordPrimaryEnd(sentAt, targetStatus.end);
    if (const auto moment = members.confirmedAt(members.primaryTerm()))
        ages.confirmTerm(members.primaryTerm(), *moment);
    durability.recordEnd(now, outbox, members, target, targetStatus.end);
}

void GroupState::handleNewPrimary(Instant now)
{
    const auto& primary = *members.primary();
    const auto promotions = failover.promotions();
    detector.restartCount(now);
    votes.setPrimaryTerm(now, primary.term);
    outbox.push(PrimaryLearned { primary.term, primary.target });
    outbox.log(LogEvent::NewPrimaryDetected,
        { { "database", database.value() }, { "target", primary.target.value() },
            { "term", std::to_string(primary.term.value()) } });
    failover.handleNewPrimary(failoverContext(now));
    failover.clearFailures();
    durability.startTerm(now, outbox, members);
    probes.probeAllNow();
    updateSuspicion(now);
    voteSender.castIfDue(now, outbox, votes, members.primary(), suspicion != Suspicion::None);
    if (failover.promotions() > promotions)
        replication.followAll(now, outbox, members);
}

void GroupState::handleAnswer(Instant now, const PendingCommand& pending, const GroupStatus& status)
{
    recordTargetStatus(now, pending.target, pending.sentAt, { status.fencedTerm, status.end, status.role });
    members.recordFollowing(pending.target, pending.sentAt, status.following);
    if (pending.purpose == CommandPurpose::Fence || pending.purpose == CommandPurpose::Promote)
        failover.handleAnswer(failoverContext(now), pending, status);
    if (pending.purpose == CommandPurpose::Wait && !status.accepted)
        durability.delayRetry(now, pending.target);
    confirmations.handleAnswer(now, outbox, members, pending, status, durability.isOpen());
}

void GroupState::handleFailure(Instant now, const PendingCommand& pending, ErrorCode code)
{
    const auto& target = pending.target;
    if (code == ErrorCode::TooManyConnections || code == ErrorCode::Leaving)
        members.recordResponse(now, target);
    else if (code == ErrorCode::ConnectionRefused && pending.purpose == CommandPurpose::Probe)
        members.recordRefusal(target);
    if (pending.purpose == CommandPurpose::Probe)
        probes.retrySoon(now, target);
    if (pending.purpose == CommandPurpose::Wait)
        durability.delayRetry(now, target);
}

void GroupState::expireCommands(Instant now)
{
    for (const auto& pending : outbox.expireSentBefore(now - settings.commandTimeout))
        handleFailure(now, pending, ErrorCode::DeadlineExceeded);
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

void GroupState::supervise(Instant now, RandomEngine& random)
{
    updateSuspicion(now);
    const auto isSuspected = suspicion != Suspicion::None;
    voteSender.castIfDue(now, outbox, votes, members.primary(), isSuspected);
    failover.tick(failoverContext(now), isSuspected);
    if (trigger.shouldStart(now, random, votes, members, failover))
        failover.startAttempt(failoverContext(now));
    if (!votes.isWatcher())
        return;
    const auto target
        = failover.isIdle() && !isSuspected ? planner.dueTarget(now, members, votes.rank()) : std::nullopt;
    if (target)
        failover.startSwitchover(failoverContext(now), *target);
    if (!failover.isAttempting())
        replication.tick(now, outbox, members, votes.rank());
}

} // namespace Auburnpost::Group
