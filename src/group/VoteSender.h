#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"
#include "group/VoteTable.h"

namespace Auburnpost::Group {

/// Casts this watcher's vote: at once when it changes, and again while it suspects the primary.
class VoteSender {
public:
    VoteSender(HostName self, Incarnation, const GroupSettings&);

    /// Casts the vote when it is due, in @p votes and to the other watchers.
    void cast(Instant now, CommandOutbox&, VoteTable& votes, const std::optional<KnownPrimary>&, bool suspects);

private:
    HostName m_self;
    const GroupSettings* m_settings;
    WatchVote m_vote;
    Instant m_castAt {};
};

} // namespace Auburnpost::Group
