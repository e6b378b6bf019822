#pragma once

#include "load/HistoryEvent.h"
#include "load/Violation.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Auburnpost::Load {

/// Checks answers of reads against the writes of the same history. It needs no logs, so it can be used both during a
/// run and afterwards.
class ReadChecker {
public:
    /// Records a write when it is first sent.
    void recordStart(const HistoryEvent& write);
    /// Records a write with its outcome.
    void recordOutcome(const HistoryEvent& write);
    /// Checks the answer of a read.
    /// @return the violations; empty for a read that was not answered successfully.
    [[nodiscard]] std::vector<Violation> check(const HistoryEvent& read) const;

private:
    struct Write {
        SessionNumber session;
        DatabaseName database;
        std::int64_t item { 0 };
        Instant invoked;
        /// Time of the acknowledgement; empty without one.
        std::optional<Instant> acknowledged;
        bool notRun { false };
    };
    using ItemKey = std::pair<DatabaseName, std::int64_t>;

    void checkMissing(const HistoryEvent& read, std::vector<Violation>&) const;
    void checkReturned(const HistoryEvent& read, std::vector<Violation>&) const;

    std::unordered_map<Fact, Write> m_writes;
    std::map<ItemKey, std::vector<Fact>> m_acknowledged;
};

} // namespace Auburnpost::Load
