#pragma once

#include "process/GroupHistory.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Auburnpost::Test {

struct GroupViolation {
    enum class Kind { Stale, Lost, Twice, Token };

    Kind kind { Kind::Stale };
    Moment at;
    std::string text;
};

const char* nameOf(GroupViolation::Kind);

/// Checks what callers and members saw of a group.
class GroupCheck {
public:
    /// @param history outlives the check.
    explicit GroupCheck(const GroupHistory& history);

    [[nodiscard]] const std::vector<GroupViolation>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t count(GroupViolation::Kind) const;
    [[nodiscard]] std::size_t acknowledgedCommits() const { return m_acknowledged.size(); }
    /// @return the number of runs that were compared with acknowledged commits.
    [[nodiscard]] std::size_t checkedRuns() const { return m_checkedRuns; }

private:
    struct Acknowledged {
        LogEntryIndex entry { 0 };
        const CallerStatement* statement { nullptr };
    };
    /// Commits in the order of their acknowledgements, with the newest position up to each.
    struct Requirement {
        Moment since;
        Acknowledged newest;
    };
    using Requirements = std::vector<Requirement>;

    void collectAcknowledgements();
    void collectRequirements();
    void checkRuns();
    void checkRun(const MemberRun&, const CallerStatement&);
    void checkPromotions();
    void checkRepeatedWrites();
    void checkTokens();
    void require(Requirements&, Moment, const Acknowledged&) const;
    [[nodiscard]] const Acknowledged* newestBefore(const Requirements&, Moment) const;

    const GroupHistory& m_history;
    std::unordered_map<std::string, const CallerStatement*> m_statements;
    std::vector<Acknowledged> m_acknowledged;
    /// The last entry of each log that is in the last primary's log too.
    std::vector<LogEntryIndex> m_kept;
    Requirements m_ofAll;
    std::unordered_map<std::size_t, Requirements> m_ofSession;
    std::vector<GroupViolation> m_violations;
    std::size_t m_checkedRuns { 0 };
};

} // namespace Auburnpost::Test
