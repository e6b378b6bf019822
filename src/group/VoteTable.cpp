#include "group/VoteTable.h"

#include "group/GroupMember.h"

#include <algorithm>
#include <tuple>

namespace Auburnpost::Group {

VoteTable::VoteTable(HostName self, Duration voteLifetime)
    : m_self(std::move(self))
    , m_voteLifetime(voteLifetime)
{
}

void VoteTable::setWatchers(std::vector<HostName> watchers)
{
    m_watchers = std::move(watchers);
    std::erase_if(m_entries, [this](const auto& entry) {
        return std::find(m_watchers.begin(), m_watchers.end(), entry.first) == m_watchers.end();
    });
}

void VoteTable::record(Instant now, const HostName& from, const WatchVote& vote)
{
    if (std::find(m_watchers.begin(), m_watchers.end(), from) == m_watchers.end())
        return;
    const auto found = m_entries.find(from);
    const auto order = [](const WatchVote& each) { return std::tie(each.incarnation, each.sequence); };
    if (found != m_entries.end() && order(vote) <= order(found->second.vote))
        return;
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

bool VoteTable::majoritySuspects(Instant now, Term term) const
{
    const auto count = std::count_if(
        m_watchers.begin(), m_watchers.end(), [&](const HostName& watcher) { return suspects(now, watcher, term); });
    return suspects(now, m_self, term) && static_cast<std::size_t>(count) >= majorityOf(m_watchers.size());
}

std::size_t VoteTable::suspectingAhead(Instant now, Term term) const
{
    const auto end = std::find(m_watchers.begin(), m_watchers.end(), m_self);
    return static_cast<std::size_t>(
        std::count_if(m_watchers.begin(), end, [&](const HostName& watcher) { return suspects(now, watcher, term); }));
}

bool VoteTable::suspects(Instant now, const HostName& watcher, Term term) const
{
    const auto found = m_entries.find(watcher);
    if (found == m_entries.end() || now - found->second.arrivedAt > m_voteLifetime)
        return false;
    return found->second.vote.suspects && found->second.vote.term == term;
}

} // namespace Auburnpost::Group
