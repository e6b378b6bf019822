#include "engine/SiteChecker.h"

#include <algorithm>

namespace Auburnpost {

void SiteChecker::fail(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

void SiteChecker::told(const std::string& fact, Told told)
{
    m_told[fact] = told;
    if (told == Told::Acknowledged)
        m_acknowledged.insert(fact);
}

void SiteChecker::read(
    const std::string& what, const std::vector<std::string>& mustSee, const std::vector<std::string>& seen)
{
    ++m_reads;
    const std::set<std::string> found(seen.begin(), seen.end());
    if (found.size() != seen.size())
        fail(what + ": a fact came twice");
    for (const auto& fact : mustSee) {
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
    for (const auto& [fact, told] : m_told) {
        const bool inLog = counts.contains(fact);
        if (told == Told::Acknowledged && !inLog)
            fail("acknowledged fact " + fact + " is lost");
        if (told == Told::NotRun && inLog)
            fail("fact " + fact + " was reported as not run and is in the log");
    }
}

std::size_t SiteChecker::count(Told told) const
{
    return static_cast<std::size_t>(
        std::count_if(m_told.begin(), m_told.end(), [told](const auto& entry) { return entry.second == told; }));
}

} // namespace Auburnpost
