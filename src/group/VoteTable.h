#pragma once

#include "base/Time.h"
#include "group/WatchVote.h"

#include <map>
#include <vector>

namespace Auburnpost::Group {

/// The watchers in rank order and their last votes.
class VoteTable {
public:
    VoteTable(HostName self, Duration voteLifetime);

    void setWatchers(std::vector<HostName>);
    /// Takes a vote; an older one than the last of its sender changes nothing.
    void record(Instant now, const HostName& from, const WatchVote&);

    [[nodiscard]] const std::vector<HostName>& watchers() const { return m_watchers; }
    /// @return whether this host is a watcher.
    [[nodiscard]] bool isWatcher() const;
    /// @return how many watchers come before this host.
    [[nodiscard]] std::size_t rank() const;
    /// @return whether a majority of the watchers, this host among them, suspects the primary of @p term now.
    [[nodiscard]] bool majoritySuspects(Instant now, Term term) const;
    /// @return how many of the watchers before this host suspect the primary of @p term now.
    [[nodiscard]] std::size_t suspectingAhead(Instant now, Term term) const;

private:
    struct Entry {
        WatchVote vote;
        Instant arrivedAt;
    };

    [[nodiscard]] bool suspects(Instant now, const HostName&, Term) const;

    HostName m_self;
    Duration m_voteLifetime;
    std::vector<HostName> m_watchers;
    std::map<HostName, Entry> m_entries;
};

} // namespace Auburnpost::Group
