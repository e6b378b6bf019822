#pragma once

#include "group/AgeTracker.h"
#include "group/AttemptTrigger.h"
#include "group/DurabilityTracker.h"
#include "group/FailureDetector.h"
#include "group/FollowKeeper.h"
#include "group/ProbeSchedule.h"
#include "group/ReadConfirmations.h"
#include "group/SwitchPlanner.h"
#include "group/VoteSender.h"

namespace Auburnpost::Group {

/// The parts of one watch and what passes between them.
struct GroupState {
    GroupState(Instant now, DatabaseName, HostName self, Incarnation, std::vector<GroupMember>, const GroupSettings&);

    /// Passes a standing to every part that learns from it.
    void observe(Instant now, const TargetName&, Instant sentAt, const TargetStanding&);
    /// Passes the answer to a command to the part that sent it.
    void answered(Instant now, const PendingCommand&, const GroupStatus&);
    void failed(Instant now, const PendingCommand&, ErrorCode);
    /// Gives commands up that were not answered in time.
    void expire(Instant now);
    /// Votes, and starts what is due of takeovers and switches.
    void govern(Instant now, RandomEngine&);
    [[nodiscard]] TakeoverContext takeoverContext(Instant now);

    GroupSettings settings;
    DatabaseName database;
    HostName self;
    CommandOutbox outbox;
    MemberTable members;
    VoteTable votes;
    FailureDetector detector;
    ProbeSchedule probes;
    VoteSender voteSender;
    AttemptTrigger trigger;
    Takeover takeover;
    SwitchPlanner planner;
    FollowKeeper follow;
    DurabilityTracker durability;
    ReadConfirmations confirmations;
    AgeTracker ages;
    Suspicion suspicion { Suspicion::None };

private:
    void primaryLearned(Instant now);
    void updateSuspicion(Instant now);
};

} // namespace Auburnpost::Group
