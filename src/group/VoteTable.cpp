#include "group/VoteTable.h"

#include "group/GroupMember.h"

#include <algorithm>
#include <tuple>

namespace Auburnpost::Group {

VoteTable::VoteTable(HostName self, const GroupSettings& settings)
    : m_self(std::move(self))
    , m_settings(&settings)
{
}

void VoteTable::setWatchers(std::vector<HostName> watchers)
{
    m_watchers = std::move(watchers);
    std::erase_if(m_entries, [this](const auto& entry) {
        return std::find(m_watchers.begin(), m_watchers.end(), entry.first) == m_watchers.end();
    });
}

void VoteTable::setPrimaryTerm(Instant now, Term term)
{
    m_primaryTerm = term;
    m_primaryLearnedAt = now;
    m_highestTerm = std::max(m_highestTerm, term);
}

void VoteTable::record(Instant now, const HostName& from, const WatcherVote& vote)
{
    if (std::find(m_watchers.begin(), m_watchers.end(), from) == m_watchers.end())
        return;
    const auto found = m_entries.find(from);
    const auto orderOf = [](const WatcherVote& each) { return std::tie(each.incarnation, each.sequence); };
    if (found != m_entries.end() && orderOf(vote) <= orderOf(found->second.vote))
        return;
    m_highestTerm = std::max(m_highestTerm, vote.term);
    m_entries.insert_or_assign(from, Entry { vote, now });
}

bool VoteTable::isWatcher() const
{
    return std::find(m_watchers.begin(), m_watchers.end(), m_self) != m_watchers.end();
}

std::size_t VoteTable::rank() const
{
    return static_cast<std::size_t>(
        std::distance(m_watchers.begin(), std::find(m_watchers.begin(), m_watchers.end(), m_self)));
}

bool VoteTable::majoritySuspects(Instant now) const
{
    const auto count = std::count_if(
        m_watchers.begin(), m_watchers.end(), [&](const HostName& watcher) { return suspects(now, watcher); });
    return suspects(now, m_self) && static_cast<std::size_t>(count) >= majorityOf(m_watchers.size());
}

std::size_t VoteTable::suspectingAhead(Instant now) const
{
    const auto end = std::find(m_watchers.begin(), m_watchers.end(), m_self);
    return static_cast<std::size_t>(
        std::count_if(m_watchers.begin(), end, [&](const HostName& watcher) { return suspects(now, watcher); }));
}

bool VoteTable::suspects(Instant now, const HostName& watcher) const
{
    const auto found = m_entries.find(watcher);
    if (found == m_entries.end() || !found->second.vote.suspects)
        return false;
    const auto& entry = found->second;
    const auto isCurrent
        = entry.vote.term >= m_primaryTerm || entry.arrivedAt - m_primaryLearnedAt > m_settings->responseTimeout;
    return isCurrent && now - entry.arrivedAt <= m_settings->voteLifetime;
}

} // namespace Auburnpost::Group
