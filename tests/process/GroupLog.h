#pragma once

#include "process/ConfigHistory.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// A position of a log, written TERM.NUMBER.
struct LogPosition {
    std::uint64_t term { 0 };
    std::uint64_t number { 0 };

    auto operator<=>(const LogPosition&) const = default;
    [[nodiscard]] std::string toString() const;
    /// @return the position; zero for text that is none.
    static LogPosition parse(const std::string&);
};

/// Index of an entry of a GroupLog. A log is named by its last entry.
using LogEntryIndex = std::size_t;

/// A commit with its writes.
struct LogEntry {
    LogEntryIndex previous { 0 };
    LogPosition position;
    /// Id of the statement that committed it.
    std::string statement;
    /// Ids of its writes.
    std::vector<std::string> writes;
};

/// The logs of all members of a group, as a tree: logs share the entries that they have in common.
class GroupLog {
public:
    GroupLog() { m_entries.push_back({ 0, { 1, 1 }, "", {} }); }

    /// Appends to the log that ends with an entry. @return the new end.
    LogEntryIndex append(LogEntryIndex end, std::uint64_t term, std::string statement, std::vector<std::string> writes);
    [[nodiscard]] const LogEntry& entry(LogEntryIndex index) const { return m_entries[index]; }
    [[nodiscard]] LogPosition position(LogEntryIndex index) const { return m_entries[index].position; }
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    /// @return the last entry that two logs have in common.
    [[nodiscard]] LogEntryIndex commonEnd(LogEntryIndex, LogEntryIndex) const;
    /// @return for each entry whether the log that ends with one contains it.
    [[nodiscard]] std::vector<bool> contents(LogEntryIndex end) const;

private:
    std::vector<LogEntry> m_entries;
};

} // namespace Auburnpost::Test
