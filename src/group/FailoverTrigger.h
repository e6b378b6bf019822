#pragma once

#include "base/Random.h"
#include "group/Failover.h"
#include "group/GroupSettings.h"
#include "group/VoteTable.h"

namespace Auburnpost::Group {

/// Decides when this watcher starts a failover. Rank, jitter, back-off and the grace period only keep watchers from
/// interrupting each other; it is safe when several of them start at once.
class FailoverTrigger {
public:
    explicit FailoverTrigger(const GroupSettings&);

    /// @return whether to start an attempt now.
    bool shouldStart(Instant now, RandomEngine&, const VoteTable&, const MemberTable&, const Failover&);

private:
    /// Starts the grace period when another watcher has begun an attempt.
    /// @param highest highest term reported by a member or another watcher.
    /// @param knownPrimaryTerm term of the primary that this watcher knows.
    void recordOtherAttempt(Instant now, Term highest, Term knownPrimaryTerm, const Failover&);
    /// Starts a back-off after each new failure of this watcher.
    void recordFailures(Instant now, RandomEngine&, unsigned failuresInRow);

    const GroupSettings* m_settings;
    /// When a majority began to suspect the primary; empty while none does.
    std::optional<Instant> m_suspectedSince;
    /// Random addition to the delay behind watchers ahead in rank, at most a third of rankSpacing.
    Duration m_jitter {};
    Term m_highestTerm;
    /// End of the time that another watcher's attempt is given to finish.
    Instant m_graceUntil {};
    unsigned m_failuresSeen { 0 };
    Instant m_backoffUntil {};
};

} // namespace Auburnpost::Group
