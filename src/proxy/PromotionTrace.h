#pragma once

#include "base/LogRecord.h"
#include "proxy/GroupWatcher.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// Takes the log records and metrics of a promotion.
class PromotionObserver {
public:
    virtual ~PromotionObserver() = default;
    virtual void log(const LogRecord&) = 0;
    /// Adds a sample to a metrics series.
    virtual void measure(std::string_view series, double sample) = 0;
};

/// Follows this host's promotion calls for one group until their effect is seen, and reports whether their fences held
/// until then. It serves logs, metrics and dumps only: no decision depends on it.
class PromotionTrace {
public:
    /// Number of calls that are followed at a time; older ones are dropped first.
    static constexpr std::size_t maxCalls = 4;
    /// Time for which a call is followed; platforms carry out a delayed call within seconds.
    static constexpr Duration retention = std::chrono::seconds(30);

    /// A fence that a call relies on.
    struct Fence {
        /// When the fence was first seen to be gone.
        std::optional<Instant> goneAt;
        /// Whether the candidate, queried later, reported that it was not promoted yet. Otherwise the effect itself may
        /// have removed the fence.
        bool isGoneBeforeEffect { false };
    };

    struct Call {
        TargetName candidate;
        RowVersion token;
        Instant calledAt;
        /// When the replacement of the primary was found to be due.
        Instant suspectedAt;
        /// The highest term that a member had joined at the time of the call.
        Term replacedTerm;
        /// End of the candidate's log at the time of the call.
        LogPoint end;
        /// The log of the primary that is being replaced.
        std::optional<MemberHistory::PrimaryLog> replacedLog;
        std::map<TargetName, Fence> fences;
        /// When the attempt ended without an effect.
        std::optional<Instant> abandonedAt;
    };

    PromotionTrace(GroupName, PromotionObserver&);

    /// Records that the replacement of the primary is due.
    void recordSuspicion(Instant now) { m_suspectedAt = now; }
    /// Records a promotion call.
    /// @param fenced the members whose fences it relies on.
    void recordCall(Instant now, const GroupWatcher&, const TargetName& candidate, RowVersion token,
        const std::set<TargetName>& fenced);
    /// Records that the call with the token was refused, so that it has no effect.
    void recordRefusal(RowVersion token);
    /// Records that the attempt in progress ended without success.
    /// @param mayTakeEffect whether the attempt has made a call that may still take effect.
    void recordAbandonment(Instant now, bool mayTakeEffect);
    /// Reports fences that are gone and calls that took effect.
    void observe(Instant now, const GroupWatcher&);

    /// @return the calls whose effect was not seen, oldest first.
    [[nodiscard]] const std::vector<Call>& calls() const { return m_calls; }

private:
    void observeFences(Instant now, const GroupWatcher&, Call&);
    void reportLostFence(Instant goneAt, const Call&, const TargetName&, const GroupWatcher::Member*);
    void reportEffect(Instant now, const Call&);

    GroupName m_group;
    PromotionObserver& m_observer;
    Instant m_suspectedAt {};
    std::vector<Call> m_calls;
};

} // namespace Auburnpost::Proxy
