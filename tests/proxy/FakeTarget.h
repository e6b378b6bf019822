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

/// One committed write.
struct LogEntry {
    LogPoint point;
    std::string write;

    bool operator==(const LogEntry&) const = default;
};

/// A connection as the target sees it.
struct TargetSide {
    Session::SessionValues values;
    std::map<std::string, Session::PreparedShape> prepared;
    Session::TransactionState state { Session::TransactionState::Idle };
    bool isReadOnly { false };
    /// Writes of the open transaction.
    std::vector<std::string> writes;
};

/// A target that behaves as docs/PLATFORM.md tells of the platform's: a fence only stops the receiving of a replica and
/// shuts nobody out; a primary leads on until it is demoted.
class FakeTarget {
public:
    TargetRecord record;
    bool isRunning { true };
    bool isPrimary { false };
    Term term { 1 };
    Term fencedTerm;
    std::vector<LogEntry> log;
    /// How many entries a read sees.
    std::size_t applied { 0 };
    std::map<std::uint64_t, TargetSide> connections;

    [[nodiscard]] LogPoint end() const;
    [[nodiscard]] bool holds(const std::optional<LogPoint>&) const;
    [[nodiscard]] TargetStanding standing() const;
    /// Takes over the log of a primary, if this target follows it.
    void receiveFrom(const FakeTarget& primary);
    /// Adds a commit to the log of a primary.
    LogPoint append(const std::vector<std::string>& writes);
    void lead(Term newTerm);
    /// Ends every connection and what depends on the process.
    void crash();
};

} // namespace Auburnpost::Proxy
