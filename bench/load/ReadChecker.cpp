#include "load/ReadChecker.h"

#include <algorithm>
#include <unordered_set>

namespace Auburnpost::Load {

namespace {

    /// Answers state their age in whole milliseconds, rounded up.
    constexpr Duration ageRounding = std::chrono::milliseconds(1);

    Violation makeViolation(Rule rule, const HistoryEvent& read, const Fact& fact)
    {
        return { rule,
            read.kind + " of session " + std::to_string(read.session.value()) + " invoked at "
                + std::to_string(read.invoked.time_since_epoch().count()) + " us, served by " + read.servedBy
                + ": fact " + fact.value() };
    }

    /// The answer to a read with maximum age 0 can't state age 0. Its age may be at most the duration of the read.
    bool exceedsMaxAge(const HistoryEvent& read)
    {
        if (!read.maxAge || !read.age)
            return false;
        if (*read.maxAge > Duration::zero())
            return *read.age > *read.maxAge;
        return *read.age > read.completed - read.invoked + ageRounding;
    }

} // namespace

void ReadChecker::recordStart(const HistoryEvent& write)
{
    m_writes[write.fact] = { write.session, write.database, write.item, write.invoked, {}, false };
}

void ReadChecker::recordOutcome(const HistoryEvent& write)
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
    if (exceedsMaxAge(read))
        violations.push_back(makeViolation(Rule::AgeExceeded, read, Fact()));
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
        const auto sinceAcknowledged = read.invoked - *write.acknowledged;
        if (write.session == read.session)
            violations.push_back(makeViolation(Rule::ReadYourWrites, read, fact));
        if ((read.maxAge && sinceAcknowledged > *read.maxAge) || (read.age && sinceAcknowledged > *read.age))
            violations.push_back(makeViolation(Rule::StaleRead, read, fact));
    }
}

void ReadChecker::checkReturned(const HistoryEvent& read, std::vector<Violation>& violations) const
{
    for (const auto& fact : read.facts) {
        const auto found = m_writes.find(fact);
        if (found == m_writes.end())
            continue; // written by an earlier run
        const auto& write = found->second;
        if (write.invoked > read.completed)
            violations.push_back(makeViolation(Rule::ReadBeforeWrite, read, fact));
        if (write.notRun)
            violations.push_back(makeViolation(Rule::ReadOfNotRun, read, fact));
        if (write.database != read.database || write.item != read.item)
            violations.push_back(makeViolation(Rule::MixedAnswer, read, fact));
    }
}

} // namespace Auburnpost::Load
