#pragma once

#include "chart/ChartRunner.h"
#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"
#include "group/VoteTable.h"

#include <map>
#include <set>

namespace Auburnpost::Group {

/// What a step of the takeover works with.
struct TakeoverContext {
    Instant now;
    CommandOutbox& outbox;
    const MemberTable& members;
    const VoteTable& votes;
};

/// Changes the primary, driven by takeover.scxml: fence a majority to a new term, promote the member among them
/// whose log ends highest. A planned switch drains the writes first and lets the chosen replica catch up.
class Takeover {
public:
    /// @param self and @p incarnation make the names of this watcher's candidates unique.
    Takeover(HostName self, Incarnation incarnation, const GroupSettings&);

    /// Starts an attempt at once. Nothing happens while one runs.
    void startAttempt(TakeoverContext);
    /// Starts a planned switch. Nothing happens while an attempt or switch runs.
    void startSwitch(TakeoverContext, const TargetName& to);
    /// Takes the answer to a Fence or Promote of this takeover.
    void answered(TakeoverContext, const PendingCommand&, const GroupStatus&);
    /// Takes note that a watcher has no write in flight for the switch.
    void drained(TakeoverContext, const HostName&, SwitchId);
    /// Takes note that a primary of a higher term was seen.
    void primaryLearned(TakeoverContext);
    /// Does what time alone brings about.
    /// @param primaryFailed whether the primary is suspected, which ends a switch that has not fenced yet.
    void tick(TakeoverContext, bool primaryFailed);

    [[nodiscard]] bool isIdle() const { return m_runner.isIn("Idle"); }
    /// @return whether members are being fenced or promoted.
    [[nodiscard]] bool isAttempting() const { return m_runner.isIn("Attempt"); }
    [[nodiscard]] bool isCatchingUp() const { return m_runner.isIn("CatchingUp"); }
    /// @return the term of the last attempt.
    [[nodiscard]] Term attemptTerm() const { return m_term; }
    [[nodiscard]] const std::string& state() const { return m_runner.state(); }
    [[nodiscard]] std::uint64_t attempts() const { return m_attempts; }
    [[nodiscard]] std::uint64_t promotions() const { return m_promotions; }
    /// @return attempts in a row that brought no primary.
    [[nodiscard]] unsigned failuresInRow() const { return m_failuresInRow; }
    /// Forgets the failures in a row.
    void clearFailures() { m_failuresInRow = 0; }

private:
    using Runner = Chart::ChartRunner<Takeover, TakeoverContext>;
    static Runner makeRunner();

    bool writesDrained(const TakeoverContext&) const;
    bool drainLimitPassed(const TakeoverContext&) const;
    bool chosenCaughtUp(const TakeoverContext&) const;
    bool catchUpLimitPassed(const TakeoverContext&) const;
    bool majorityFenced(const TakeoverContext&) const;
    bool retryDue(const TakeoverContext&) const;
    bool stepLimitPassed(const TakeoverContext&) const;

    void drainWrites(TakeoverContext&);
    void resumeWrites(TakeoverContext&);
    void markPrimaryEnd(TakeoverContext&);
    void fenceMembers(TakeoverContext&);
    void fenceAgain(TakeoverContext&);
    void promoteBest(TakeoverContext&);
    void promoteAgain(TakeoverContext&);
    void announcePrimary(TakeoverContext&);
    void giveUp(TakeoverContext&);

    void fire(std::string_view event, TakeoverContext& context) { m_runner.fire(event, *this, context); }
    void sendFence(TakeoverContext&, const TargetName&);
    void sendPromote(TakeoverContext&);
    void takeFenceAnswer(TakeoverContext&, const TargetName&, const GroupStatus&);
    [[nodiscard]] bool preferredIsOut(const TakeoverContext&) const;

    HostName m_self;
    Incarnation m_incarnation;
    const GroupSettings* m_settings;
    Runner m_runner;
    std::uint64_t m_attempts { 0 };
    std::uint64_t m_promotions { 0 };
    unsigned m_failuresInRow { 0 };

    Instant m_stepSince {};
    Instant m_lastSent {};
    /// The attempt: its term, its unique name, who accepted the fence with which end of the log.
    Term m_term;
    std::string m_candidate;
    std::map<TargetName, LogPoint> m_accepted;
    /// The one target that this candidate promotes.
    std::optional<TargetName> m_promoted;
    /// The target wished for; empty in an unplanned attempt.
    std::optional<TargetName> m_preferred;
    /// The switch whose writes are drained, and the watchers that reported so.
    std::uint64_t m_lastSwitch { 0 };
    std::optional<SwitchId> m_draining;
    std::set<HostName> m_drained;
};

} // namespace Auburnpost::Group
