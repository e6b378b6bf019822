#pragma once

#include "base/LogRecord.h"
#include "proxy/GroupWatcher.h"
#include "proxy/Promotion.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// What a group without a usable primary waits for next.
enum class AwaitedStep : std::uint8_t {
    /// The loss of the primary is not certain yet.
    Detection,
    /// No member is listed.
    Members,
    /// Another host holds the promotion lease, or this host's next attempt is delayed.
    Lease,
    /// An answer of the store.
    Store,
    /// The end of the demoted primary's log, and a member that has it.
    Handover,
    /// Fences of enough members.
    Fences,
    /// Fences that are verified against a list of members read under the lease.
    Verification,
    /// The effect of a promotion call.
    Effect,
    /// The proof that a target which reports to be the primary was not replaced.
    Doubt,
};

/// @return the text for logs and dumps, such as "fences".
std::string_view toString(AwaitedStep);

/// Tells why a group has had no usable primary for long. It serves logs, metrics and dumps only: no decision depends on
/// it.
class PrimaryAbsence {
public:
    /// Length of an absence that is reported; a failover without obstacles is shorter.
    static constexpr Duration reportAfter = std::chrono::seconds(3);
    /// Interval between reports of the same absence.
    static constexpr Duration reportInterval = std::chrono::seconds(5);

    /// @return whether the absence is to be reported now.
    bool observe(Instant now, const GroupWatcher&);
    /// @return how long the group has had no usable primary; zero while it has one, or has no members.
    [[nodiscard]] Duration length(Instant now) const { return m_since ? now - *m_since : Duration {}; }

    /// @return what the group waits for.
    [[nodiscard]] static AwaitedStep awaitedStep(const GroupWatcher&, const Promotion&);
    /// @return the counted members that hold no fence and can't be fenced by this host now, each as
    /// NAME/END/REASON with REASON one of ended, silent and unknown, separated by commas; "-" when there is none.
    [[nodiscard]] static std::string describeMissing(Instant now, const GroupWatcher&);
    /// @return the fields of the report.
    [[nodiscard]] std::vector<LogField> describe(Instant now, const GroupWatcher&, const Promotion&) const;

private:
    std::optional<Instant> m_since;
    std::optional<Instant> m_reportedAt;
};

} // namespace Auburnpost::Proxy
