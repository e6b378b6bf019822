#pragma once

#include "group/GroupSettings.h"
#include "group/WatchVote.h"

#include <map>
#include <vector>

namespace Auburnpost::Group {

/// The watchers in rank order and their last votes.
class VoteTable {
public:
    VoteTable(HostName self, const GroupSettings&);

    void setWatchers(std::vector<HostName>);
    /// Notes the primary that this watcher knows now. A vote that tells of an older one counts again once its sender
    /// has had the time to see the new one.
    void primaryLearned(Instant now, Term);
    /// Takes a vote; an older one than the last of its sender changes nothing.
    void record(Instant now, const HostName& from, const WatchVote&);

    [[nodiscard]] const std::vector<HostName>& watchers() const { return m_watchers; }
    /// @return whether this host is a watcher.
    [[nodiscard]] bool isWatcher() const;
    /// @return how many watchers come before this host.
    [[nodiscard]] std::size_t rank() const;
    /// @return whether a majority of the watchers, this host among them, sees no working primary now.
    [[nodiscard]] bool majoritySuspects(Instant now) const;
    /// @return how many of the watchers before this host see no working primary now.
    [[nodiscard]] std::size_t suspectingAhead(Instant now) const;
    /// @return the highest term of a primary that a watcher told of.
    [[nodiscard]] Term highestTerm() const { return m_highestTerm; }

private:
    struct Entry {
        WatchVote vote;
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
