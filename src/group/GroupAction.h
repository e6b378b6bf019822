#pragma once

#include "base/LogRecord.h"
#include "base/Time.h"
#include "group/GroupIds.h"
#include "group/WatchVote.h"
#include "message/GroupCommand.h"

#include <string_view>
#include <variant>
#include <vector>

namespace Auburnpost::Group {

/// Send a command to a target; report its answer or failure with the same correlation.
/// The answer to a Wait is held back by the target, so a Wait goes over another connection than the rest.
struct SendCommand {
    TargetName target;
    CorrelationId correlation;
    GroupCommand command;
};

/// Send a vote to another watcher.
struct SendVote {
    HostName to;
    WatchVote vote;
};

/// Ask every watcher, this host included, to hold new writes back and to report when none is in flight.
/// A host resumes by itself after the limit.
struct DrainWrites {
    SwitchId id;
    std::vector<HostName> watchers;
    Duration limit {};
};

/// Tell every watcher, this host included, to let writes pass again.
struct ResumeWrites {
    SwitchId id;
    std::vector<HostName> watchers;
};

/// A primary of a higher term was seen.
struct PrimaryLearned {
    Term term;
    TargetName target;
};

/// The primary's term may now be answered from: a majority holds its term-start entry.
struct TermOpened {
    Term term;
    TargetName target;
};

/// A majority of the members holds the point that was waited for.
struct Durable {
    WaitId id;
};

/// Why a wait or confirmation ended without proof.
enum class NoProofReason {
    TermChanged,
    DeadlineExceeded,
};

/// @return "term_changed" or "deadline_exceeded".
std::string_view toString(NoProofReason);

/// Nothing is known of the point: it may be durable or may be lost.
struct NotDurable {
    WaitId id;
    NoProofReason reason { NoProofReason::TermChanged };
};

/// At a moment after the call the term had not been replaced.
struct Confirmed {
    ConfirmId id;
    Term term;
    /// End of the primary's log at a moment after the call; every write acknowledged before the call lies within.
    LogPoint primaryEnd;
};

struct NotConfirmed {
    ConfirmId id;
    NoProofReason reason { NoProofReason::TermChanged };
};

/// What the watch asks its host to do, in order.
using GroupAction = std::variant<SendCommand, SendVote, DrainWrites, ResumeWrites, PrimaryLearned, TermOpened, Durable,
    NotDurable, Confirmed, NotConfirmed, LogRecord>;

using GroupActions = std::vector<GroupAction>;

} // namespace Auburnpost::Group
