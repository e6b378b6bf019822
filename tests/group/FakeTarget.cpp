#include "group/FakeTarget.h"

namespace Auburnpost::Group {

GroupStatus FakeTarget::answer(bool accepted) const
{
    return { accepted, m_role, m_fenced, end(), m_following, m_candidate };
}

GroupStatus FakeTarget::status() const
{
    return answer(true);
}

GroupStatus FakeTarget::fence(Term term, const std::string& candidate)
{
    if (term < m_fenced || (term == m_fenced && candidate != m_candidate))
        return answer(false);
    if (term > m_fenced) {
        m_fenced = term;
        m_candidate = candidate;
        m_role = m_role == TargetRole::Primary ? TargetRole::Fenced : m_role;
        m_following = TargetName();
    }
    return answer(true);
}

GroupStatus FakeTarget::promote(Term term, const std::string& candidate)
{
    if (term != m_fenced || candidate != m_candidate)
        return answer(false);
    if (m_role == TargetRole::Primary)
        return answer(true);
    m_role = TargetRole::Primary;
    if (m_promotedFor != candidate)
        m_log.push_back({ term, 0, EntryKind::TermStart });
    m_promotedFor = candidate;
    return answer(true);
}

GroupStatus FakeTarget::follow(Term term, const TargetName& primary)
{
    if (term < m_fenced || primary == m_name || (m_role == TargetRole::Primary && end().term == term))
        return answer(false);
    m_fenced = term;
    m_role = TargetRole::Replica;
    m_following = primary;
    return answer(true);
}

bool FakeTarget::covers(const LogPoint& point) const
{
    return end().covers(point);
}

KeyAnswer FakeTarget::write(std::uint64_t key)
{
    if (m_role != TargetRole::Primary || find(key, EntryKind::Write) || find(key, EntryKind::NotRun))
        return { false, false, {}, standing() };
    m_log.push_back({ end().term, key, EntryKind::Write });
    return { true, false, end(), standing() };
}

KeyAnswer FakeTarget::lookUp(std::uint64_t key)
{
    if (m_role != TargetRole::Primary)
        return { false, false, {}, standing() };
    const auto written = find(key, EntryKind::Write);
    const auto marked = find(key, EntryKind::NotRun);
    if (!written && !marked)
        m_log.push_back({ end().term, key, EntryKind::NotRun });
    const auto position = written ? written : marked ? marked : m_log.size();
    return { true, written > 0, { m_log[position - 1].term, Position(position) }, standing() };
}

void FakeTarget::replicate(const TargetName& from, Term term, const std::vector<FakeEntry>& log)
{
    if (m_role != TargetRole::Replica || m_following != from || term < m_fenced)
        return;
    m_fenced = term;
    // A shorter log of the same term was sent earlier than what is here.
    if (end().term == term && m_log.size() >= log.size())
        return;
    m_log = log;
}

void FakeTarget::restart()
{
    m_role = TargetRole::Fenced;
    m_following = TargetName();
}

LogPoint FakeTarget::end() const
{
    return m_log.empty() ? LogPoint {} : LogPoint { m_log.back().term, Position(m_log.size()) };
}

std::size_t FakeTarget::find(std::uint64_t key, EntryKind kind) const
{
    for (std::size_t index = m_log.size(); index > 0; --index) {
        if (m_log[index - 1].key == key && m_log[index - 1].kind == kind)
            return index;
    }
    return 0;
}

} // namespace Auburnpost::Group
