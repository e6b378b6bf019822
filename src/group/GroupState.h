#pragma once

#include "group/AgeTracker.h"
#include "group/DurabilityTracker.h"
#include "group/FailoverTrigger.h"
#include "group/FailureDetector.h"
#include "group/ProbeSchedule.h"
#include "group/ReadConfirmations.h"
#include "group/ReplicationSupervisor.h"
#include "group/SwitchoverPlanner.h"
#include "group/VoteSender.h"

namespace Auburnpost::Group {

/// The components of one watch and the data that passes between them.
struct GroupState {
    GroupState(Instant now, DatabaseName, HostName self, Incarnation, std::vector<GroupMember>, const GroupSettings&);

    /// Passes a target's status to every component that uses it.
    void recordTargetStatus(Instant now, const TargetName&, Instant sentAt, const TargetStatus&);
    /// Passes the answer to a command to the component that sent it.
    void handleAnswer(Instant now, const PendingCommand&, const GroupStatus&);
    void handleFailure(Instant now, const PendingCommand&, ErrorCode);
    /// Handles commands that were not answered in time as failed.
    void expireCommands(Instant now);
    /// Votes, and starts the failovers, switchovers and follow commands that are due.
    void supervise(Instant now, RandomEngine&);
    [[nodiscard]] FailoverContext failoverContext(Instant now);

    GroupSettings settings;
    DatabaseName database;
    HostName self;
    CommandOutbox outbox;
    MemberTable members;
    VoteTable votes;
    FailureDetector detector;
    ProbeSchedule probes;
    VoteSender voteSender;
    FailoverTrigger trigger;
    Failover failover;
    SwitchoverPlanner planner;
    ReplicationSupervisor replication;
    DurabilityTracker durability;
    ReadConfirmations confirmations;
    AgeTracker ages;
    Suspicion suspicion { Suspicion::None };

private:
    void handleNewPrimary(Instant now);
    void updateSuspicion(Instant now);
};

} // namespace Auburnpost::Group
