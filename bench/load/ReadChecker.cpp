#include "load/ReadChecker.h"

#include <algorithm>
#include <unordered_set>

namespace Auburnpost::Load {

namespace {

    /// The answer's age is in whole milliseconds, rounded up.
    constexpr Duration ageRounding = std::chrono::milliseconds(1);

    Violation breach(Rule rule, const HistoryEvent& read, const Fact& fact)
    {
        return { rule,
            read.kind + " of session " + std::to_string(read.session.value()) + " invoked at "
                + std::to_string(read.invoked.time_since_epoch().count()) + " us, served by " + read.servedBy
                + ": fact " + fact.value() };
    }

    /// A read as of now can't be answered at age 0: its answer is as old as the read itself took, at the most.
    bool hasExceededAge(const HistoryEvent& read)
    {
        if (!read.maxAge || !read.age)
            return false;
        if (*read.maxAge > Duration::zero())
            return *read.age > *read.maxAge;
        return *read.age > read.completed - read.invoked + ageRounding;
    }

} // namespace

void ReadChecker::began(const HistoryEvent& write)
{
    m_writes[write.fact] = { write.session, write.database, write.item, write.invoked, {}, false };
}

void ReadChecker::ended(const HistoryEvent& write)
{
    auto& entry = m_writes[write.fact];
    entry = { write.session, write.database, write.item, write.invoked, {}, write.outcome == Outcome::NotRun };
    if (write.outcome != Outcome::Done)
        return;
    entry.acknowledged = write.completed;
    m_acknowledged[{ write.database, write.item }].push_back(write.fact);
}

std::vector<Violation> ReadChecker::check(const HistoryEvent& read) const
{
    std::vector<Violation> violations;
    if (read.isWrite || read.outcome != Outcome::Done)
        return violations;
    if (hasExceededAge(read))
        violations.push_back(breach(Rule::AgeExceeded, read, Fact()));
    checkMissing(read, violations);
    checkReturned(read, violations);
    return violations;
}

void ReadChecker::checkMissing(const HistoryEvent& read, std::vector<Violation>& violations) const
{
    const auto found = m_acknowledged.find({ read.database, read.item });
    if (found == m_acknowledged.end())
        return;
    const std::unordered_set<Fact> returned(read.facts.begin(), read.facts.end());
    for (const auto& fact : found->second) {
        const auto& write = m_writes.at(fact);
        if (*write.acknowledged >= read.invoked || returned.contains(fact))
            continue;
        const auto since = read.invoked - *write.acknowledged;
        if (write.session == read.session)
            violations.push_back(breach(Rule::ReadYourWrites, read, fact));
        if ((read.maxAge && since > *read.maxAge) || (read.age && since > *read.age))
            violations.push_back(breach(Rule::StaleRead, read, fact));
    }
}

void ReadChecker::checkReturned(const HistoryEvent& read, std::vector<Violation>& violations) const
{
    for (const auto& fact : read.facts) {
        const auto found = m_writes.find(fact);
        if (found == m_writes.end())
            continue; // of an earlier run
        const auto& write = found->second;
        if (write.invoked > read.completed)
            violations.push_back(breach(Rule::ReadBeforeWrite, read, fact));
        if (write.notRun)
            violations.push_back(breach(Rule::ReadOfNotRun, read, fact));
        if (write.database != read.database || write.item != read.item)
            violations.push_back(breach(Rule::MixedAnswer, read, fact));
    }
}

} // namespace Auburnpost::Load
