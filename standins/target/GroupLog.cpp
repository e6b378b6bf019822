#include "target/GroupLog.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::Standin {

namespace {

    Term termAtPosition(const TermStarts& starts, std::uint64_t position)
    {
        Term term;
        for (const LogPoint& start : starts) {
            if (start.position.value() <= position)
                term = start.term;
        }
        return term;
    }

} // namespace

LogPoint GroupLog::end() const
{
    return m_entries.empty() ? LogPoint {} : m_entries.back().point;
}

bool GroupLog::contains(const LogPoint& point) const
{
    return point.position.value() <= m_entries.size() && termAt(point.position.value()) == point.term;
}

TermStarts GroupLog::termStarts() const
{
    TermStarts starts;
    for (const LogEntry& entry : m_entries) {
        if (starts.empty() || starts.back().term != entry.point.term)
            starts.push_back(entry.point);
    }
    return starts;
}

LogPoint GroupLog::lastCommonPoint(const TermStarts& starts, const LogPoint& otherEnd) const
{
    // Two logs with the same term at a position are identical up to that position.
    std::uint64_t position = std::min<std::uint64_t>(m_entries.size(), otherEnd.position.value());
    while (position && termAt(position) != termAtPosition(starts, position))
        --position;
    return { termAt(position), Position(position) };
}

void GroupLog::append(LogEntry entry)
{
    AUBURNPOST_INVARIANT(entry.point.position.value() == m_entries.size() + 1, "log positions are contiguous");
    AUBURNPOST_INVARIANT(entry.point.term >= end().term, "log terms never decrease");
    m_entries.push_back(std::move(entry));
}

void GroupLog::truncate(Position position)
{
    if (position.value() < m_entries.size())
        m_entries.resize(position.value());
}

Term GroupLog::termAt(std::uint64_t position) const
{
    return position ? m_entries[position - 1].point.term : Term();
}

} // namespace Auburnpost::Standin
