#include "engine/SiteChecker.h"

#include <algorithm>

namespace Auburnpost {

void SiteChecker::fail(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

void SiteChecker::recordOutcome(const std::string& fact, ReportedOutcome outcome)
{
    m_reportedOutcomes[fact] = outcome;
    if (outcome == ReportedOutcome::Acknowledged)
        m_acknowledged.insert(fact);
}

void SiteChecker::checkRead(
    const std::string& what, const std::vector<std::string>& requiredFacts, const std::vector<std::string>& seen)
{
    ++m_reads;
    const std::set<std::string> found(seen.begin(), seen.end());
    if (found.size() != seen.size())
        fail(what + ": a fact was returned twice");
    for (const auto& fact : requiredFacts) {
        if (!found.contains(fact))
            fail(what + ": fact " + fact + " is missing");
    }
}

void SiteChecker::checkLog(const std::map<std::string, int>& counts)
{
    for (const auto& [fact, count] : counts) {
        if (count != 1)
            fail("fact " + fact + " is in the log " + std::to_string(count) + " times");
    }
    for (const auto& [fact, outcome] : m_reportedOutcomes) {
        const bool inLog = counts.contains(fact);
        if (outcome == ReportedOutcome::Acknowledged && !inLog)
            fail("acknowledged fact " + fact + " is lost");
        if (outcome == ReportedOutcome::NotRun && inLog)
            fail("fact " + fact + " was reported as not run and is in the log");
    }
}

std::size_t SiteChecker::count(ReportedOutcome outcome) const
{
    return static_cast<std::size_t>(std::count_if(m_reportedOutcomes.begin(), m_reportedOutcomes.end(),
        [outcome](const auto& entry) { return entry.second == outcome; }));
}

} // namespace Auburnpost
