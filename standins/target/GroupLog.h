#pragma once

#include "target/LogEntry.h"

#include <vector>

namespace Auburnpost::Standin {

/// The first entry of each term in a log, in order.
using TermStarts = std::vector<LogPoint>;

/// A target's copy of the log of its group. Positions start at 1.
class GroupLog {
public:
    [[nodiscard]] LogPoint end() const;
    [[nodiscard]] const std::vector<LogEntry>& entries() const { return m_entries; }
    /// @return whether the log contains the entry at this point. Every log contains the end of the empty log.
    [[nodiscard]] bool contains(const LogPoint&) const;
    [[nodiscard]] TermStarts termStarts() const;
    /// @return the last log point that this log shares with a log that has these term starts and this end.
    [[nodiscard]] LogPoint lastCommonPoint(const TermStarts&, const LogPoint& otherEnd) const;

    /// Appends an entry, which must have the next position.
    void append(LogEntry);
    /// Removes all entries after @p position.
    void truncate(Position position);

private:
    [[nodiscard]] Term termAt(std::uint64_t position) const;

    std::vector<LogEntry> m_entries;
};

} // namespace Auburnpost::Standin
