#pragma once

#include "proxy/TargetRecord.h"
#include "proxy/TargetRequest.h"
#include "session/SessionState.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// One write in a target's log.
struct LogEntry {
    LogPoint point;
    std::string write;

    bool operator==(const LogEntry&) const = default;
};

/// The target's side of a connection.
struct FakeTargetConnection {
    Session::SessionValues values;
    std::map<std::string, Session::PreparedShape> prepared;
    Session::TransactionState state { Session::TransactionState::Idle };
    bool isReadOnly { false };
    /// Writes of the open transaction.
    std::vector<std::string> writes;
};

/// A target that behaves as docs/PLATFORM.md describes: a fence only stops a replica from receiving the log and refuses
/// no connections or statements; a primary stays primary until it is demoted.
class FakeTarget {
public:
    TargetRecord record;
    bool isRunning { true };
    /// Whether the process has ended for good.
    bool isGone { false };
    bool isPrimary { false };
    Term term { 1 };
    Term fencedTerm;
    std::vector<LogEntry> log;
    /// Number of log entries that a read sees.
    std::size_t applied { 0 };
    std::map<std::uint64_t, FakeTargetConnection> connections;

    [[nodiscard]] LogPoint logEnd() const;
    /// @return whether a read on this target sees the log point.
    [[nodiscard]] bool holds(const std::optional<LogPoint>&) const;
    [[nodiscard]] TargetStatus status() const;
    /// Copies the log of a primary if this target follows it.
    void copyLogFrom(const FakeTarget& primary);
    /// Receives the log that a primary of the given term sent, if this target follows it.
    /// @return whether the target has the log.
    bool receive(Term, const std::vector<LogEntry>&);
    /// Appends a commit to the log of this primary.
    LogPoint append(const std::vector<std::string>& writes);
    void becomePrimary(Term newTerm);
    /// Stops the process: closes all connections and removes the fence.
    void crash();
    /// Ends the process for good, with its log.
    void end();
};

} // namespace Auburnpost::Proxy
