#pragma once

#include "chart/ChartRunner.h"
#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"
#include "group/VoteTable.h"

#include <map>
#include <set>

namespace Auburnpost::Group {

/// Input of each step of a failover.
struct FailoverContext {
    Instant now;
    CommandOutbox& outbox;
    const MemberTable& members;
    const VoteTable& votes;
};

/// Changes the primary, driven by takeover.scxml: fences a majority to a new term and promotes the fenced member whose
/// log ends highest. One round of this, under a term and a candidate name of its own, is an attempt. A switchover first
/// drains the writes and lets the chosen replica catch up, then makes one attempt.
class Failover {
public:
    /// @param self name of this host; with @p incarnation it makes the names of this watcher's candidates unique.
    Failover(HostName self, Incarnation incarnation, const GroupSettings&);

    /// Starts an attempt at once; does nothing while an attempt or a switchover is running.
    void startAttempt(FailoverContext);
    /// Starts a switchover; does nothing while an attempt or a switchover is running, or without a known primary.
    void startSwitchover(FailoverContext, const TargetName& to);
    /// Handles the answer to a Fence or Promote command of this failover.
    void handleAnswer(FailoverContext, const PendingCommand&, const GroupStatus&);
    /// Records that a watcher has no write in flight any more.
    void recordDrained(FailoverContext, const HostName&, SwitchoverId);
    /// Ends the attempt or switchover that a newly found primary of a higher term completes or supersedes.
    void handleNewPrimary(FailoverContext);
    /// Checks the time limits and retries of the current step.
    /// @param primaryFailed whether the primary is suspected, which ends a switchover that has not fenced yet.
    void tick(FailoverContext, bool primaryFailed);

    [[nodiscard]] bool isIdle() const { return m_runner.isIn("Idle"); }
    /// @return whether members are being fenced or promoted.
    [[nodiscard]] bool isAttempting() const { return m_runner.isIn("Attempt"); }
    [[nodiscard]] bool isCatchingUp() const { return m_runner.isIn("CatchingUp"); }
    /// @return the term of the last attempt.
    [[nodiscard]] Term attemptTerm() const { return m_term; }
    [[nodiscard]] const std::string& state() const { return m_runner.state(); }
    [[nodiscard]] std::uint64_t attempts() const { return m_attempts; }
    [[nodiscard]] std::uint64_t promotions() const { return m_promotions; }
    /// @return the number of failed attempts in a row.
    [[nodiscard]] unsigned failuresInRow() const { return m_failuresInRow; }
    void clearFailures() { m_failuresInRow = 0; }

private:
    using Runner = Chart::ChartRunner<Failover, FailoverContext>;
    static Runner makeRunner();

    bool writesDrained(const FailoverContext&) const;
    bool drainLimitPassed(const FailoverContext&) const;
    bool chosenCaughtUp(const FailoverContext&) const;
    bool catchUpLimitPassed(const FailoverContext&) const;
    bool majorityFenced(const FailoverContext&) const;
    bool retryDue(const FailoverContext&) const;
    bool stepLimitPassed(const FailoverContext&) const;

    void drainWrites(FailoverContext&);
    void resumeWrites(FailoverContext&);
    void startCatchUp(FailoverContext&);
    void fenceMembers(FailoverContext&);
    void fenceAgain(FailoverContext&);
    void promoteBest(FailoverContext&);
    void promoteAgain(FailoverContext&);
    void recordPromotion(FailoverContext&);
    void abandonAttempt(FailoverContext&);

    void fire(std::string_view event, FailoverContext& context) { m_runner.fire(event, *this, context); }
    void sendFence(FailoverContext&, const TargetName&);
    void sendPromote(FailoverContext&);
    void handleFenceAnswer(FailoverContext&, const TargetName&, const GroupStatus&);
    /// @return whether the preferred target has had twice attemptRetry to accept the fence.
    [[nodiscard]] bool hasPreferredTimedOut(const FailoverContext&) const;

    HostName m_self;
    Incarnation m_incarnation;
    const GroupSettings* m_settings;
    Runner m_runner;
    std::uint64_t m_attempts { 0 };
    std::uint64_t m_promotions { 0 };
    unsigned m_failuresInRow { 0 };

    Instant m_stepStartedAt {};
    Instant m_lastSentAt {};
    /// Term of the current or last attempt.
    Term m_term;
    /// Unique name of the current or last attempt.
    std::string m_candidate;
    /// The members that accepted the fence, with the end of each one's log.
    std::map<TargetName, LogPoint> m_fenced;
    /// The one target that this candidate promotes.
    std::optional<TargetName> m_promotedTarget;
    /// The target to promote in a switchover, unless it is not fenced in time or another log ends higher; empty in
    /// other attempts.
    std::optional<TargetName> m_preferredTarget;
    std::uint64_t m_lastSwitchover { 0 };
    /// The switchover for which writes are held back; empty when there is none.
    std::optional<SwitchoverId> m_draining;
    /// The watchers that reported no write in flight for that switchover.
    std::set<HostName> m_drainedWatchers;
};

} // namespace Auburnpost::Group
