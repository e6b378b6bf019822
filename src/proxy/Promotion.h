#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "chart/ChartRunner.h"
#include "proxy/GroupWatcher.h"
#include "proxy/MemberRecorder.h"
#include "proxy/PromotionLease.h"
#include "proxy/PromotionTrace.h"
#include "proxy/TargetRequest.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace Auburnpost::Proxy {

/// Operations that Promotion requires from its environment.
class PromotionDelegate : public PromotionObserver {
public:
    virtual void readLease(const GroupName&) = 0;
    /// Writes the lease if the row still has the expected version.
    virtual void writeLease(const GroupName&, const PromotionLease&, RowVersion expected) = 0;
    /// Reads the group's members from the store, as the list of this host may be old. Promotion::membersRead() follows
    /// once the members are updated.
    virtual void readMembers(const GroupName&) = 0;
    /// Asks the platform to promote the target to primary.
    /// @param sendBefore the call must not be sent at or after this moment.
    virtual void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) = 0;
    /// Sends one request to a target, which replies with its status.
    /// @param sendBefore the request is dropped if it can't be sent before this moment.
    virtual void sendCommand(const TargetName&, const TargetRequest&, Instant sendBefore) = 0;
};

/// What a promotion is to achieve.
enum class PromotionGoal : std::uint8_t {
    ReplacePrimary,
    /// Only remove the fences that an abandoned attempt left behind.
    ResumeMembers,
    /// Only bring the record of the members in the store up to date. The lease is not held for it.
    RecordMembers,
};

/// Replaces the primary of one group, driven by the state chart promotion.scxml, under the group's promotion lease in
/// the store. A primary that answers hands over: it is demoted, which ends its log, and a member that has this log is
/// promoted. Otherwise enough members are fenced, the fences are verified, and the member with the longest log is
/// promoted. The candidate is recorded with the lease before the call, as the call may take effect late. At the end the
/// other members are made to follow the new primary. Each write of the lease's row also brings the record of the
/// members up to date, which a host that knows fewer members reads with the lease.
class Promotion {
public:
    /// Lifetime of a lease, which has to cover fencing, verification, the promotion call and its effect.
    static constexpr Duration leaseLifetime = std::chrono::milliseconds(3700);
    /// Maximum time from an accepted call to its effect; platforms take up to about a second. The lease covers this
    /// time because another host that acquired it meanwhile would fence the candidate, whose promotion would then
    /// remove that fence.
    static constexpr Duration effectTimeout = std::chrono::milliseconds(1200);
    /// Timeout of the promotion call. The connection is reset afterwards, so that the call can't arrive later.
    static constexpr Duration callTimeout = std::chrono::milliseconds(600);
    /// Maximum random delay before an attempt. It spreads hosts that detect the same failure, so that most of them find
    /// the lease already held.
    static constexpr Duration startJitter = std::chrono::milliseconds(150);
    static constexpr Duration retryDelay = std::chrono::milliseconds(250);
    /// Minimum interval between failed reads of the members.
    static constexpr Duration membersRetryInterval = std::chrono::milliseconds(500);
    /// Interval at which an unanswered command is sent again.
    static constexpr Duration commandRetryInterval = std::chrono::milliseconds(120);
    /// Time reserved at the end of a lease for sending the last commands of an attempt.
    static constexpr Duration commandMargin = std::chrono::milliseconds(300);
    /// Extra time to fence more members than needed, as they may have a longer log.
    static constexpr Duration fenceGrace = std::chrono::milliseconds(120);
    /// Maximum time for reading or writing the lease's row.
    static constexpr Duration leaseStepTimeout = std::chrono::milliseconds(1200);
    /// Time for which a call that is not seen to take effect may still do so. Platforms usually take less than
    /// effectTimeout.
    static constexpr Duration pendingLifetime = std::chrono::seconds(10);
    /// Maximum time for which the replacement of a leaving primary is postponed; after that it may shut down.
    static constexpr Duration maxHandoverDelay = std::chrono::milliseconds(4000);
    /// Maximum time for demoting a primary and finding a member that has its log.
    static constexpr Duration handoverTimeout = std::chrono::milliseconds(600);
    /// Interval at which the members' logs are compared with that of the demoted primary.
    static constexpr Duration handoverPollInterval = std::chrono::milliseconds(60);
    /// Maximum time from an accepted call until the target reports that it is the primary; platforms take up to about a
    /// second. The call is repeated afterwards.
    static constexpr Duration awaitTimeout = std::chrono::milliseconds(3500);
    /// Maximum time for making the members follow the new primary, renewed leases included.
    static constexpr Duration finishTimeout = std::chrono::seconds(3);

    Promotion(HostName self, GroupName group, PromotionDelegate&);

    /// Starts an attempt unless one is in progress.
    void start(Instant now, const GroupWatcher&, RandomEngine&, PromotionGoal, FailoverReason);
    /// Advances the attempt in progress, if there is one.
    /// @param failoverReason why the primary should be replaced, as of now.
    void tick(Instant now, const GroupWatcher&, FailoverReason failoverReason);
    /// @param row the lease's row, or the error of the read.
    void leaseRead(Instant now, const GroupWatcher&, const Expected<PromotionLeaseRow>& row);
    /// @param version the row's new version; empty when the row's version was not the expected one; or the error of the
    /// write.
    void leaseWritten(Instant now, const GroupWatcher&, const Expected<std::optional<RowVersion>>& version);
    /// @param isKnown whether the members are as the store lists them; false if they could not be read.
    void membersRead(Instant now, const GroupWatcher&, bool isKnown);
    void promoteAnswered(Instant now, const GroupWatcher&, PromotionOutcome);

    /// The store came back from an older copy of itself, which may lack a lease that is still held and the members that
    /// were recorded. No lease is taken until all earlier ones have expired.
    void storeReturned(Instant now);
    /// Sets the position of this host in the order of the hosts that record the members; empty for none.
    void setRecorderRank(std::optional<std::size_t> rank) { m_recorder.setRank(rank); }
    /// @return whether an attempt to record the members should be started.
    [[nodiscard]] bool isRecordDue(Instant now, const GroupWatcher& watcher) { return m_recorder.isDue(now, watcher); }

    [[nodiscard]] bool isIdle() const { return m_runner.isIn("Idle"); }
    /// @return whether an attempt is in progress that does more than record the members.
    [[nodiscard]] bool isReplacing() const { return !isIdle() && m_goal != PromotionGoal::RecordMembers; }
    [[nodiscard]] const MemberRecorder& recorder() const { return m_recorder; }
    /// @return whether this host fences members, so that the current primary can't acknowledge commits.
    [[nodiscard]] bool isFencing() const
    {
        return m_runner.isIn("Attempt") || m_runner.isIn("Calling") || m_runner.isIn("Awaiting");
    }
    [[nodiscard]] const std::string& state() const { return m_runner.state(); }
    [[nodiscard]] const PromotionTrace& trace() const { return m_trace; }
    /// @return the last promotion that was recorded and not seen to take effect, for dumps.
    [[nodiscard]] const std::optional<PendingPromotion>& pending() const { return m_pending; }
    /// @return whether this process wrote the version of the lease's row, and so knows whether it called.
    [[nodiscard]] bool hasWritten(RowVersion version) const { return version != RowVersion {} && version == m_token; }

private:
    struct Context {
        Instant now;
        const GroupWatcher& watcher;
        FailoverReason failoverReason { FailoverReason::None };
    };
    using Runner = Chart::ChartRunner<Promotion, Context>;

    static Runner makeRunner();
    void fire(std::string_view event, Context& context);

    [[nodiscard]] bool isReasonGone(const Context&) const;
    [[nodiscard]] bool hasDelayPassed(const Context&) const;
    [[nodiscard]] bool isLeaseStepLate(const Context&) const;
    [[nodiscard]] bool isResumeOnly(const Context&) const;
    [[nodiscard]] bool isRecordOnly(const Context&) const;
    [[nodiscard]] bool isRecordLate(const Context&) const;
    [[nodiscard]] bool isSuperseded(const Context&) const;
    [[nodiscard]] bool isLeaseEnding(const Context&) const;
    [[nodiscard]] bool isRenewalDue(const Context&) const;
    [[nodiscard]] bool canHandOver(const Context&) const;
    [[nodiscard]] bool isHandoverReady(const Context&) const;
    [[nodiscard]] bool hasHandoverStalled(const Context&) const;
    [[nodiscard]] bool isHandoverPollDue(const Context&) const;
    [[nodiscard]] bool mayHandOver(const Context&) const;
    [[nodiscard]] bool hasEnoughFenced(const Context&) const;
    [[nodiscard]] bool isCandidateRecorded(const Context&) const;
    [[nodiscard]] bool isRetryDue(const Context&) const;
    [[nodiscard]] bool areFencesVerified(const Context&) const;
    [[nodiscard]] bool isPromotionSeen(const Context&) const;
    [[nodiscard]] bool hasAwaitTimedOut(const Context&) const;
    [[nodiscard]] bool haveAllJoined(const Context&) const;
    [[nodiscard]] bool hasFinishTimedOut(const Context&) const;

    void postponeRecord(Context&);
    void waitForLeaseHolder(Context&);
    void postponeHandover(Context&);
    void delayRetry(Context&);
    void readLease(Context&);
    void writeLease(Context&);
    void startHandover(Context&);
    void pollHandover(Context&);
    void fenceMembers(Context&);
    void queryFenced(Context&);
    /// Demotes a primary that answers, and reads the members again.
    void closePrimaryLog(Context&);
    /// Writes the candidate to the lease's row, whose new version is the token of the call.
    void recordCandidate(Context&);
    void callPromotion(Context&);
    void demoteFormerPrimary(Context&);
    /// Fences members again that lost their fence by a restart and do not follow the new primary yet.
    void refenceMembers(Context&);
    void joinMembers(Context&);
    /// Makes the next lease serve only to resume the members that are still fenced.
    void renewLeaseForResume(Context&);
    void abandonAttempt(Context&);
    /// Removes a candidate from the row that was recorded and not called for, so that other hosts don't wait for its
    /// promotion and don't repeat it.
    void withdrawCandidate(Context&);

    void readMembers(Context&);
    /// Begins the replacement of the primary, for which an attempt to record the members is cut short.
    void beginReplacement(Instant now, const GroupWatcher&, FailoverReason);
    /// Writes the lease's row, with the members as this host counts them.
    /// @param replacedTerm as in PromotionLease.
    void writeRow(
        const Context&, std::uint64_t expiresAtMs, RowVersion expected, const std::optional<Term>& replacedTerm);
    [[nodiscard]] bool isWithdrawing(Instant now) const;
    /// @return the highest term whose primary this attempt may replace; zero if it replaces none, empty if unknown.
    [[nodiscard]] std::optional<Term> termToReplace() const;
    /// Continues an attempt to record the members once the lease's row was read.
    void recordRead(Context&, bool isHeld);
    void logRecordProblem();
    /// Takes over a promotion that an earlier holder of the lease may have called for.
    void adoptPending(Context&);
    /// @return whether the replacement of the leaving primary has to wait for an earlier call for the same target.
    [[nodiscard]] bool isHandoverPostponed(const Context&) const;
    /// @return whether a call of this or an earlier lease may still take effect.
    [[nodiscard]] bool isPromotionPending(const Context&) const;
    /// @return the end of the log of the primary that was demoted; empty until it has reported that it is no primary.
    [[nodiscard]] std::optional<LogPoint> demotedLogEnd(const GroupWatcher&) const;
    /// @return a member that has the whole log of the demoted primary; empty if there is none yet.
    [[nodiscard]] std::optional<TargetName> chooseHandoverTarget(const Context&) const;
    /// @return whether the member may be fenced: it may answer, and is not the primary.
    [[nodiscard]] static bool mayFence(const GroupWatcher&, const TargetName&, const GroupWatcher::Member&);
    [[nodiscard]] std::uint64_t storeNowMs(Instant now) const;
    void updateEnoughFenced(const Context&);
    /// @return the moment before which a command has to be sent to take effect before another host can hold the lease.
    [[nodiscard]] Instant leaseUsableUntil() const { return m_leaseReadAt + leaseLifetime - callTimeout; }
    /// @return the moment before which the promotion call has to be sent to take effect while the lease is valid.
    [[nodiscard]] Instant callDeadline() const { return leaseUsableUntil() - effectTimeout; }
    /// @return whether the member's fence is of this attempt or an earlier one, so that this attempt may remove it.
    [[nodiscard]] bool mayResume(const GroupWatcher::Member&) const;
    [[nodiscard]] std::set<TargetName> fencedMembers(const GroupWatcher&) const;
    /// @return the members whose process has ended if the log of the term is closed: they have acknowledged nothing
    /// beyond its end, and no member acknowledges anything more.
    [[nodiscard]] std::set<TargetName> endedMembers(const GroupWatcher&) const;
    /// @return whether no primary of a term after the closed one can have led, as far as the row of the lease and its
    /// candidate tell.
    [[nodiscard]] bool isClosureProven(const GroupWatcher&) const;
    /// @return whether the candidate of the promotion that the row shows has reported since that it never led.
    [[nodiscard]] bool isPendingDisproved(const GroupWatcher&, Term closed) const;
    /// @return what PromotionLease::unresolvedTerm has to be in the next write of the row.
    [[nodiscard]] std::optional<Term> unresolvedTerm(const GroupWatcher&) const;
    /// @return the order in which members with equal logs are promoted; the highest goes first. A promotion that may
    /// still take effect would otherwise undo another.
    [[nodiscard]] std::tuple<bool, bool, bool, bool> suitability(const GroupWatcher::Member&) const;
    /// @return the fenced member to be promoted; empty if none is fenced.
    [[nodiscard]] std::optional<TargetName> chooseFencedTarget(const Context&) const;
    /// @param closed members that can't acknowledge anything more.
    /// @return the log point that includes every acknowledged commit, as far as the logs of these members tell.
    [[nodiscard]] static LogPoint requiredLogEnd(const GroupWatcher&, const std::set<TargetName>& closed);
    /// @return the longest log at each address where none but these members can acknowledge anything. Members are
    /// counted by address, as by GroupMembership.
    [[nodiscard]] static std::map<SocketAddress, LogPoint> closedAddresses(
        const GroupWatcher&, const std::set<TargetName>& closed);
    /// @return whether the members are enough for a promotion.
    [[nodiscard]] static bool areEnough(const GroupWatcher&, const std::set<TargetName>& closed);
    /// Logs an attempt that ended without success.
    /// @param before the state that the event left.
    void logAbandonment(std::string_view event, std::string_view before, const Context&);
    void log(LogEvent, std::vector<LogField>) const;

    HostName m_self;
    GroupName m_group;
    PromotionDelegate& m_delegate;
    Runner m_runner;
    PromotionGoal m_goal { PromotionGoal::ReplacePrimary };
    /// When the current state of the chart was entered.
    Instant m_stateEnteredAt {};
    /// Term of the primary that is being replaced; zero if this host has seen none.
    Term m_replacedTerm;
    /// The highest term that a member has joined, as known when the candidate was recorded.
    Term m_formerTerm;
    Instant m_delayUntil {};
    /// Until then another host may hold a lease that the store no longer knows.
    Instant m_unknownLeaseUntil {};
    Instant m_commandedAt {};
    /// When the read of the lease's row was sent; the lifetime of the lease starts no earlier.
    Instant m_leaseReadAt {};
    PromotionLeaseRow m_leaseRow;
    RowVersion m_token;
    /// The condition of the last write of the lease's row.
    RowVersion m_expectedVersion;
    MemberRecorder m_recorder;
    /// The record of members in the last write of the lease's row.
    std::optional<MemberRecord> m_writtenMembers;
    Term m_term;
    /// Since when enough members have been fenced.
    std::optional<Instant> m_enoughFencedSince;
    Instant m_verifyStartedAt {};
    /// When the members were first commanded to follow the new primary; a renewed lease does not change it.
    std::optional<Instant> m_finishingSince;
    /// The target whose promotion this attempt requested; empty before that.
    std::optional<TargetName> m_candidate;
    /// The target that is recorded with the lease of this attempt.
    std::optional<TargetName> m_recordedCandidate;
    /// The last promotion that was recorded and has not been seen to take effect.
    std::optional<PendingPromotion> m_pending;
    Instant m_pendingUntil {};
    /// Whether this attempt has recorded a candidate, and what m_pending was before.
    bool m_hasRecorded { false };
    std::optional<PendingPromotion> m_earlierPending;
    /// Whether a write of the row is not answered yet.
    bool m_isWritingRow { false };
    /// When the write that withdraws a candidate was sent; empty once it was answered.
    std::optional<Instant> m_withdrawnAt;
    /// Whether the members are those that the store listed after the lease was acquired.
    bool m_isListFresh { false };
    bool m_isReadingMembers { false };
    Instant m_membersReadAt {};
    /// Whether the read in progress began too early.
    bool m_isReadOutdated { false };
    /// The primary that hands over, and when it was first commanded to; empty unless this attempt is a handover.
    std::optional<TargetName> m_demoted;
    Instant m_demotedAt {};
    /// Targets that the platform reported as not running since the last primary was lost.
    std::set<TargetName> m_notRunning;
    /// Whether this host demoted the last primary and has seen no other since.
    bool m_hasDemotedPrimary { false };
    /// Why the primary is to be replaced, as last known, for logs.
    FailoverReason m_failoverReason { FailoverReason::None };
    PromotionTrace m_trace;
};

} // namespace Auburnpost::Proxy
