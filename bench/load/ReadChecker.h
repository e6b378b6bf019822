#pragma once

#include "load/HistoryEvent.h"
#include "load/Violation.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Auburnpost::Load {

/// Checks answers of reads against the writes of the same history. It knows no log, so it serves during a run and after
/// one.
class ReadChecker {
public:
    /// Takes in a write when it is first sent.
    void began(const HistoryEvent& write);
    /// Takes in a write with its outcome.
    void ended(const HistoryEvent& write);
    /// Checks a read that was answered.
    /// @return the rules that it breaks; empty for a read without an answer.
    [[nodiscard]] std::vector<Violation> check(const HistoryEvent& read) const;

private:
    struct Write {
        SessionNumber session;
        DatabaseName database;
        std::int64_t item { 0 };
        Instant invoked;
        /// Set for an acknowledged write.
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
