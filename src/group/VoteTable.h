#pragma once

#include "group/GroupSettings.h"
#include "group/WatcherVote.h"

#include <map>
#include <vector>

namespace Auburnpost::Group {

/// The watchers in rank order and their latest votes.
class VoteTable {
public:
    VoteTable(HostName self, const GroupSettings&);

    void setWatchers(std::vector<HostName>);
    /// Records the term of the primary that this watcher knows. A vote of an older term only counts when it arrives
    /// after its sender has had the time to find the new primary.
    void setPrimaryTerm(Instant now, Term);
    /// Stores a vote; a vote that is not newer than the stored one of its sender is ignored.
    void record(Instant now, const HostName& from, const WatcherVote&);

    [[nodiscard]] const std::vector<HostName>& watchers() const { return m_watchers; }
    /// @return whether this host is a watcher.
    [[nodiscard]] bool isWatcher() const;
    /// @return the number of watchers before this host in rank.
    [[nodiscard]] std::size_t rank() const;
    /// @return whether a majority of the watchers, this host among them, currently suspects the primary.
    [[nodiscard]] bool majoritySuspects(Instant now) const;
    /// @return the number of watchers before this host in rank that currently suspect the primary.
    [[nodiscard]] std::size_t suspectingAhead(Instant now) const;
    /// @return the highest term of a primary that a watcher has reported.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }

private:
    struct Entry {
        WatcherVote vote;
        Instant arrivedAt;
    };

    [[nodiscard]] bool suspects(Instant now, const HostName&) const;

    HostName m_self;
    const GroupSettings* m_settings;
    Term m_primaryTerm;
    Instant m_primaryLearnedAt {};
    Term m_highestTerm;
    std::vector<HostName> m_watchers;
    std::map<HostName, Entry> m_entries;
};

} // namespace Auburnpost::Group
