#include "process/GroupLog.h"

#include <cstdlib>
#include <utility>

namespace Auburnpost::Test {

std::string LogPosition::toString() const
{
    return std::to_string(term) + "." + std::to_string(number);
}

LogPosition LogPosition::parse(const std::string& text)
{
    const auto dot = text.find('.');
    if (dot == std::string::npos)
        return {};
    return { std::strtoull(text.c_str(), nullptr, 10), std::strtoull(text.c_str() + dot + 1, nullptr, 10) };
}

LogEntryIndex GroupLog::append(
    LogEntryIndex end, std::uint64_t term, std::string statement, std::vector<std::string> writes)
{
    const LogPosition position { term, m_entries[end].position.number + 1 };
    m_entries.push_back({ end, position, std::move(statement), std::move(writes) });
    return m_entries.size() - 1;
}

LogEntryIndex GroupLog::commonEnd(LogEntryIndex left, LogEntryIndex right) const
{
    // An entry has a higher index than the one before it.
    while (left != right) {
        auto& later = left > right ? left : right;
        later = m_entries[later].previous;
    }
    return left;
}

std::vector<bool> GroupLog::contents(LogEntryIndex end) const
{
    std::vector<bool> contained(m_entries.size());
    for (; end != 0; end = m_entries[end].previous)
        contained[end] = true;
    contained[0] = true;
    return contained;
}

} // namespace Auburnpost::Test
