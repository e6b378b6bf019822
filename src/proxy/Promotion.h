#pragma once

#include "base/Expected.h"
#include "base/LogRecord.h"
#include "base/Random.h"
#include "chart/ChartRunner.h"
#include "proxy/Claim.h"
#include "proxy/GroupWatcher.h"
#include "proxy/TargetRequest.h"

#include <optional>
#include <set>

namespace Auburnpost::Proxy {

/// What a promotion asks of its surroundings.
class PromotionActions {
public:
    virtual ~PromotionActions() = default;
    virtual void readClaim(const GroupName&) = 0;
    /// Writes the claim if the row still has the version.
    virtual void writeClaim(const GroupName&, const Claim&, RowVersion expected) = 0;
    /// Asks the platform to make the target the primary.
    /// @param sendBefore the call must not be written from then on.
    virtual void promote(const GroupName&, const TargetName&, RowVersion token, Instant sendBefore) = 0;
    /// Sends one request to a target, whose reply comes back as a standing.
    /// @param sendBefore the request is dropped if it can't be sent until then.
    virtual void order(const TargetName&, const TargetRequest&, Instant sendBefore) = 0;
    virtual void log(const LogRecord&) = 0;
};

/// Why a promotion is under way.
enum class PromotionReason : std::uint8_t {
    ReplacePrimary,
    /// Only fences that an abandoned attempt left behind have to go.
    ResumeMembers,
};

/// Replaces the primary of one group, as the chart promotion.scxml orders it: claim the group's row in the store,
/// fence enough members, check that the fences hold, promote the member with the longest log, and let the others follow
/// it.
class Promotion {
public:
    /// How long a claim lasts: fences and checks, the call, and its effect.
    static constexpr Duration claimLifetime = std::chrono::milliseconds(3700);
    /// From an accepted call to its effect; platforms take up to about a second. Another host that claimed in between
    /// would fence the chosen target, whose promotion takes that fence off.
    static constexpr Duration effectLimit = std::chrono::milliseconds(1200);
    /// The call has to be answered within this; the connection is reset after it, so that it can't arrive later.
    static constexpr Duration callTimeout = std::chrono::milliseconds(600);
    /// Hosts that see the same trouble start at most this far apart, so that most find the claim taken.
    static constexpr Duration startSpread = std::chrono::milliseconds(150);
    static constexpr Duration retryDelay = std::chrono::milliseconds(250);
    /// Between two sendings of an unanswered order.
    static constexpr Duration orderRetry = std::chrono::milliseconds(120);
    /// The last orders of an attempt are sent within this.
    static constexpr Duration orderMargin = std::chrono::milliseconds(300);
    /// Extra time for members beyond the needed ones to be fenced, as they may hold a longer log.
    static constexpr Duration fenceGrace = std::chrono::milliseconds(120);
    static constexpr Duration claimStepLimit = std::chrono::milliseconds(1200);
    /// From an accepted call to the new primary's first sign; platforms take up to about a second.
    static constexpr Duration awaitLimit = std::chrono::milliseconds(3500);
    static constexpr Duration finishLimit = std::chrono::seconds(3);

    Promotion(HostName self, GroupName group, PromotionActions&);

    /// Starts an attempt unless one is under way.
    void start(Instant now, const GroupWatcher&, RandomEngine&, PromotionReason, PrimaryTrouble);
    /// @param trouble what is wrong with the primary now.
    void tick(Instant now, const GroupWatcher&, PrimaryTrouble trouble);
    /// @param row the claim's row, or why it could not be read.
    void claimRead(Instant now, const GroupWatcher&, const Expected<ClaimRow>& row);
    /// @param version the row's new version; empty when the row had another version than expected.
    void claimWritten(Instant now, const GroupWatcher&, const Expected<std::optional<RowVersion>>& version);
    void promoteAnswered(Instant now, const GroupWatcher&, PromotionOutcome);

    [[nodiscard]] bool isIdle() const { return m_runner.isIn("Idle"); }
    /// @return whether this host has fenced members, so that the present primary can acknowledge nothing.
    [[nodiscard]] bool isFencing() const
    {
        return m_runner.isIn("Attempt") || m_runner.isIn("Calling") || m_runner.isIn("Awaiting");
    }
    [[nodiscard]] const std::string& state() const { return m_runner.state(); }

private:
    struct Context {
        Instant now;
        const GroupWatcher& watcher;
        PrimaryTrouble trouble { PrimaryTrouble::None };
    };
    using Runner = Chart::ChartRunner<Promotion, Context>;

    static Runner makeRunner();
    void fire(std::string_view event, Context& context);

    [[nodiscard]] bool reasonGone(const Context&) const;
    [[nodiscard]] bool delayPassed(const Context&) const;
    [[nodiscard]] bool claimLate(const Context&) const;
    [[nodiscard]] bool repairsOnly(const Context&) const;
    [[nodiscard]] bool superseded(const Context&) const;
    [[nodiscard]] bool claimEnds(const Context&) const;
    [[nodiscard]] bool renewalDue(const Context&) const;
    [[nodiscard]] bool enoughFenced(const Context&) const;
    [[nodiscard]] bool retryDue(const Context&) const;
    [[nodiscard]] bool fencesHold(const Context&) const;
    [[nodiscard]] bool promotedSeen(const Context&) const;
    [[nodiscard]] bool awaitLimitPassed(const Context&) const;
    [[nodiscard]] bool allJoined(const Context&) const;
    [[nodiscard]] bool finishLimitPassed(const Context&) const;

    void waitForHolder(Context&);
    void delayRetry(Context&);
    void readClaim(Context&);
    void writeClaim(Context&);
    void fenceMembers(Context&);
    void askFenced(Context&);
    void callPromotion(Context&);
    void demoteFormer(Context&);
    /// Fences members that lost their fence by a restart and do not follow the new primary yet.
    void fenceAgain(Context&);
    void joinMembers(Context&);
    void renewForRepairs(Context&);
    void giveUp(Context&);

    void noteFenced(const Context&);
    /// @return until when what this host sends under its claim takes effect before another host can hold it.
    [[nodiscard]] Instant claimUsableUntil() const { return m_claimReadAt + claimLifetime - callTimeout; }
    /// @return until when a call may be sent, so that it takes effect while the claim lasts.
    [[nodiscard]] Instant callUntil() const { return claimUsableUntil() - effectLimit; }
    /// @return whether the member is fenced by this attempt or by an earlier one.
    [[nodiscard]] bool mayResume(const GroupWatcher::Member&) const;
    [[nodiscard]] std::set<TargetName> fenced(const GroupWatcher&) const;
    [[nodiscard]] std::optional<TargetName> longestLog(const GroupWatcher&) const;
    void log(LogEvent, std::vector<LogField>) const;

    HostName m_self;
    GroupName m_group;
    PromotionActions& m_actions;
    Runner m_runner;
    PromotionReason m_reason { PromotionReason::ReplacePrimary };
    Instant m_stepSince {};
    /// The term of the primary that is to be replaced.
    Term m_replacedTerm;
    Instant m_delayUntil {};
    Instant m_orderedAt {};
    /// Before the claim's row was read, which bounds the start of its lifetime.
    Instant m_claimReadAt {};
    ClaimRow m_row;
    RowVersion m_token;
    Term m_term;
    /// When enough members were first fenced.
    std::optional<Instant> m_enoughSince;
    Instant m_verifyAskedAt {};
    /// When the members were first told to follow the new primary; renewed claims don't move it.
    std::optional<Instant> m_finishingSince;
    std::optional<TargetName> m_chosen;
};

} // namespace Auburnpost::Proxy
