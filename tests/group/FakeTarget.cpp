#include "group/FakeTarget.h"

namespace Auburnpost::Group {

GroupStatus FakeTarget::makeAnswer(bool accepted) const
{
    return { accepted, m_role, m_fencedTerm, end(), m_following, m_candidate };
}

GroupStatus FakeTarget::status() const
{
    return makeAnswer(true);
}

GroupStatus FakeTarget::fence(Term term, const std::string& candidate)
{
    if (term < m_fencedTerm || (term == m_fencedTerm && candidate != m_candidate))
        return makeAnswer(false);
    if (term > m_fencedTerm) {
        m_fencedTerm = term;
        m_candidate = candidate;
        m_role = m_role == TargetRole::Primary ? TargetRole::Fenced : m_role;
        m_following = TargetName();
    }
    return makeAnswer(true);
}

GroupStatus FakeTarget::promote(Term term, const std::string& candidate)
{
    if (term != m_fencedTerm || candidate != m_candidate)
        return makeAnswer(false);
    if (m_role == TargetRole::Primary)
        return makeAnswer(true);
    m_role = TargetRole::Primary;
    if (m_promotedFor != candidate)
        m_log.push_back({ term, 0, EntryKind::TermStart });
    m_promotedFor = candidate;
    return makeAnswer(true);
}

GroupStatus FakeTarget::follow(Term term, const TargetName& primary)
{
    if (term < m_fencedTerm || primary == m_name || (m_role == TargetRole::Primary && end().term == term))
        return makeAnswer(false);
    m_fencedTerm = term;
    m_role = TargetRole::Replica;
    m_following = primary;
    return makeAnswer(true);
}

bool FakeTarget::covers(const LogPoint& point) const
{
    return end().covers(point);
}

KeyAnswer FakeTarget::write(std::uint64_t key)
{
    if (m_role != TargetRole::Primary || find(key, EntryKind::Write) || find(key, EntryKind::NotRun))
        return { false, false, {}, targetStatus() };
    m_log.push_back({ end().term, key, EntryKind::Write });
    return { true, false, end(), targetStatus() };
}

KeyAnswer FakeTarget::lookUp(std::uint64_t key)
{
    if (m_role != TargetRole::Primary)
        return { false, false, {}, targetStatus() };
    const auto written = find(key, EntryKind::Write);
    const auto marked = find(key, EntryKind::NotRun);
    if (!written && !marked)
        m_log.push_back({ end().term, key, EntryKind::NotRun });
    const auto position = written ? written : marked ? marked : m_log.size();
    return { true, written > 0, { m_log[position - 1].term, Position(position) }, targetStatus() };
}

void FakeTarget::replicate(const TargetName& from, Term term, const std::vector<FakeEntry>& log)
{
    if (m_role != TargetRole::Replica || m_following != from || term < m_fencedTerm)
        return;
    m_fencedTerm = term;
    // A log of the same term that is not longer was sent before the stored one.
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
