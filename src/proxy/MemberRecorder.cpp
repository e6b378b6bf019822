#include "proxy/MemberRecorder.h"

#include <utility>

namespace Auburnpost::Proxy {

std::string_view toString(MemberRecordProblem problem)
{
    constexpr std::string_view texts[] { "none", "missing", "unreadable", "newer" };
    return texts[static_cast<std::size_t>(problem)];
}

MemberRecord MemberRecorder::describe(const GroupWatcher& watcher)
{
    MemberRecord record;
    for (const auto& [name, member] : watcher.members()) {
        if (member.mayHaveLog())
            record.members.push_back({ name, member.record.address, member.record.incarnation });
    }
    record.syncReplicas = watcher.rules().syncReplicas;
    record.term = watcher.primaryTerm();
    return record;
}

MemberRecordProblem MemberRecorder::problemOf(const PromotionLeaseRow& row)
{
    if (row.lease)
        return row.lease->members ? MemberRecordProblem::None : row.lease->membersProblem;
    return row.version == RowVersion {} ? MemberRecordProblem::Missing : MemberRecordProblem::Unreadable;
}

bool MemberRecorder::isDue(Instant now, const GroupWatcher& watcher)
{
    if (!m_rank || !watcher.primary())
        return false;
    auto members = describe(watcher).members;
    if (members != m_members) {
        m_members = std::move(members);
        m_unchangedSince = now;
    }
    // A promotion by a host of an earlier version removes the record. One host is enough to check for that.
    const bool isCheckDue = *m_rank == 0 && m_checkedTerm != watcher.primaryTerm();
    if (isCurrent(watcher) && !isCheckDue && !m_mustCheck)
        return false;
    const auto delay = settleTime + rankDelay * static_cast<Duration::rep>(*m_rank);
    return now >= m_retryAt && now - m_unchangedSince >= delay;
}

bool MemberRecorder::read(const PromotionLeaseRow& row)
{
    m_known = row.lease ? row.lease->members : std::nullopt;
    m_version = row.version;
    m_mustCheck = false;
    return std::exchange(m_problem, problemOf(row)) != m_problem;
}

bool MemberRecorder::isCurrent(const GroupWatcher& watcher) const
{
    return m_known && m_known->members == describe(watcher).members;
}

void MemberRecorder::finish(const GroupWatcher& watcher)
{
    m_checkedTerm = watcher.primaryTerm();
}

void MemberRecorder::written(RowVersion version, const MemberRecord& record)
{
    m_known = record;
    m_version = version;
    m_problem = MemberRecordProblem::None;
}

} // namespace Auburnpost::Proxy
