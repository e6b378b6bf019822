#pragma once

#include "base/Time.h"

namespace Auburnpost::Group {

/// Times used by the watch over one group. The defaults suit targets a few milliseconds away.
struct GroupSettings {
    /// Interval between two status probes of one target.
    Duration probeInterval { std::chrono::milliseconds(100) };
    /// Time from a failed probe, such as one with a refused or lost connection, to the next probe of that target.
    Duration failedProbeInterval { std::chrono::milliseconds(50) };
    /// Time without an answer from the primary after which it is suspected.
    Duration responseTimeout { std::chrono::milliseconds(600) };
    /// Number of refused connects in a row after which the primary is suspected.
    unsigned refusalLimit { 3 };
    /// Gap between two ticks above which the watcher assumes that its own process was paused.
    Duration pauseLimit { std::chrono::milliseconds(250) };
    /// Interval at which an unchanged suspicion is sent again.
    Duration voteInterval { std::chrono::milliseconds(200) };
    /// Time for which a vote of another watcher counts.
    Duration voteLifetime { std::chrono::seconds(1) };
    /// Head start of each watcher over the next in rank for a failover.
    Duration rankSpacing { std::chrono::milliseconds(300) };
    /// Time that another watcher's attempt is given to finish.
    Duration attemptGrace { std::chrono::milliseconds(500) };
    /// Interval at which an unanswered fence or promote command is sent again.
    Duration attemptRetry { std::chrono::milliseconds(200) };
    /// Maximum time that an attempt may stay in one step.
    Duration attemptStepLimit { std::chrono::milliseconds(1200) };
    /// Mean back-off after a failed attempt; it doubles with each further failure, up to backoffLimit. The actual
    /// back-off is random, from half to one and a half times the mean.
    Duration backoffBase { std::chrono::milliseconds(100) };
    Duration backoffLimit { std::chrono::milliseconds(1600) };
    /// Maximum time that a switchover waits for writes in flight.
    Duration drainLimit { std::chrono::seconds(3) };
    /// Maximum time that a switchover waits for the chosen replica to catch up.
    Duration catchUpLimit { std::chrono::seconds(3) };
    /// Head start of each watcher over the next in rank for a switchover.
    Duration switchoverSpacing { std::chrono::seconds(4) };
    /// Time that a member may stay fenced above the primary's term before the primary is promoted again.
    Duration repairDelay { std::chrono::seconds(2) };
    /// Interval between two follow commands to one target.
    Duration followInterval { std::chrono::milliseconds(300) };
    /// Maximum time that a target may hold back the answer to a wait.
    Duration waitTimeout { std::chrono::milliseconds(500) };
    /// Time after which an unanswered command counts as lost.
    Duration commandTimeout { std::chrono::seconds(2) };
};

} // namespace Auburnpost::Group
