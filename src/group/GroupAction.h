#pragma once

#include "base/LogRecord.h"
#include "base/Time.h"
#include "group/GroupIds.h"
#include "group/WatcherVote.h"
#include "message/GroupCommand.h"

#include <string_view>
#include <variant>
#include <vector>

namespace Auburnpost::Group {

/// Requests that a command is sent to a target and its answer or failure reported with the same correlation.
/// The target holds back the answer to a Wait, so a Wait needs another connection than the other commands.
struct SendCommand {
    TargetName target;
    CorrelationId correlation;
    GroupCommand command;
};

/// Requests that a vote is sent to another watcher.
struct SendVote {
    HostName to;
    WatcherVote vote;
};

/// Requests that every watcher, this host included, holds back new writes and reports when none is in flight.
/// A host resumes writes by itself after the limit.
struct DrainWrites {
    SwitchoverId id;
    std::vector<HostName> watchers;
    Duration limit {};
};

/// Requests that every watcher, this host included, resumes writes.
struct ResumeWrites {
    SwitchoverId id;
    std::vector<HostName> watchers;
};

/// A primary of a higher term was found.
struct PrimaryLearned {
    Term term;
    TargetName target;
};

/// Answers may now be given from the primary's term: a majority holds its term-start entry.
struct TermOpened {
    Term term;
    TargetName target;
};

/// A majority of the members holds the awaited point.
struct Durable {
    WaitId id;
};

/// Why a wait or a confirmation ended without success.
enum class WaitFailureReason {
    TermChanged,
    DeadlineExceeded,
};

/// @return "term_changed" or "deadline_exceeded".
std::string_view toString(WaitFailureReason);

/// The state of the point is unknown: it may be durable or lost.
struct NotDurable {
    WaitId id;
    WaitFailureReason reason { WaitFailureReason::TermChanged };
};

/// The term had not been replaced at a moment after the call to confirm().
struct Confirmed {
    ConfirmationId id;
    Term term;
    /// End of the primary's log at a moment after the call; that log holds every write acknowledged before the call.
    LogPoint primaryEnd;
};

/// The confirmation was not reached before its deadline.
struct NotConfirmed {
    ConfirmationId id;
    WaitFailureReason reason { WaitFailureReason::TermChanged };
};

/// An event reported to the owner of the watch, or an operation that the owner has to carry out. The order matters.
using GroupAction = std::variant<SendCommand, SendVote, DrainWrites, ResumeWrites, PrimaryLearned, TermOpened, Durable,
    NotDurable, Confirmed, NotConfirmed, LogRecord>;

using GroupActions = std::vector<GroupAction>;

} // namespace Auburnpost::Group
