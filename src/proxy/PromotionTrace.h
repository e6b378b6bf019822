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
        /// The members whose fences the call relies on, and when each fence was seen to be gone.
        std::map<TargetName, std::optional<Instant>> fences;
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
    /// Records that the last call was refused, so that it has no effect.
    void recordRefusal();
    /// Records that the attempt in progress ended without success. Its call, if there was one, may still take effect.
    void recordAbandonment(Instant now);
    /// Reports fences that are gone and calls that took effect.
    void observe(Instant now, const GroupWatcher&);

    /// @return the calls whose effect was not seen, oldest first.
    [[nodiscard]] const std::vector<Call>& calls() const { return m_calls; }

private:
    void observeFences(Instant now, const GroupWatcher&, Call&);
    void reportEffect(Instant now, const Call&);

    GroupName m_group;
    PromotionObserver& m_observer;
    Instant m_suspectedAt {};
    std::vector<Call> m_calls;
};

} // namespace Auburnpost::Proxy
