#pragma once

#include "base/Time.h"

namespace Auburnpost::Group {

/// Times of one group's watch. The defaults suit targets a few milliseconds away.
struct GroupSettings {
    /// Between two status probes of one target.
    Duration probeInterval { std::chrono::milliseconds(100) };
    /// Between two probes of a target that refused or lost the connection.
    Duration refusedProbeInterval { std::chrono::milliseconds(50) };
    /// Silence of the primary after which it is suspected.
    Duration silenceLimit { std::chrono::milliseconds(600) };
    /// Refused connects in a row after which the primary is suspected.
    unsigned refusalLimit { 3 };
    /// A gap between ticks from which on the watcher takes itself for paused.
    Duration pauseLimit { std::chrono::milliseconds(250) };
    /// Between two sendings of an unchanged suspicion.
    Duration voteInterval { std::chrono::milliseconds(200) };
    /// How long a vote of another watcher counts.
    Duration voteLifetime { std::chrono::seconds(1) };
    /// Head start of each watcher over the next in rank.
    Duration rankSpacing { std::chrono::milliseconds(300) };
    /// How long another watcher's attempt is left to finish.
    Duration attemptGrace { std::chrono::milliseconds(500) };
    /// Between two sendings of an unanswered fence or promote.
    Duration attemptRetry { std::chrono::milliseconds(200) };
    /// How long one attempt may stay in one step.
    Duration attemptStepLimit { std::chrono::milliseconds(1200) };
    /// First back-off after a failed attempt; it doubles up to the limit.
    Duration backoffBase { std::chrono::milliseconds(100) };
    Duration backoffLimit { std::chrono::milliseconds(1600) };
    /// How long a planned switch waits for writes in flight.
    Duration drainLimit { std::chrono::seconds(3) };
    /// How long a planned switch waits for the chosen replica.
    Duration catchUpLimit { std::chrono::seconds(3) };
    /// Head start of each watcher over the next in rank for a planned switch.
    Duration switchSpacing { std::chrono::seconds(4) };
    /// How long a member may stay fenced above the primary's term before the primary is promoted anew.
    Duration repairDelay { std::chrono::seconds(2) };
    /// Between two follow commands to one target.
    Duration followInterval { std::chrono::milliseconds(300) };
    /// How long a target may hold back the answer to a wait.
    Duration waitTimeout { std::chrono::milliseconds(500) };
    /// After this time a command counts as lost.
    Duration commandLimit { std::chrono::seconds(2) };
};

} // namespace Auburnpost::Group
