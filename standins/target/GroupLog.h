#pragma once

#include "target/LogEntry.h"

#include <vector>

namespace Auburnpost::Standin {

/// The first entry of each term in a log, in order.
using TermStarts = std::vector<LogPoint>;

/// A target's copy of its group's log. Entries are counted from position 1.
class GroupLog {
public:
    [[nodiscard]] LogPoint end() const;
    [[nodiscard]] const std::vector<LogEntry>& entries() const { return m_entries; }
    /// @return whether the log holds this entry; the empty log's end is held by every log.
    [[nodiscard]] bool holds(const LogPoint&) const;
    [[nodiscard]] TermStarts termStarts() const;
    /// Finds the last entry that this log shares with one that has these term starts and this end.
    [[nodiscard]] LogPoint agreementWith(const TermStarts&, const LogPoint& otherEnd) const;

    /// Adds an entry, which must be the next one.
    void append(LogEntry);
    /// Drops all entries behind @p position.
    void truncate(Position position);

private:
    [[nodiscard]] Term termAt(std::uint64_t position) const;

    std::vector<LogEntry> m_entries;
};

} // namespace Auburnpost::Standin
