#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"
#include "group/VoteTable.h"

namespace Auburnpost::Group {

/// Sends this watcher's vote: at once when it changes, and repeatedly while it suspects the primary.
class VoteSender {
public:
    VoteSender(HostName self, Incarnation, const GroupSettings&);

    /// Records the vote in @p votes and sends it to the other watchers, when it is due.
    void castIfDue(Instant now, CommandOutbox&, VoteTable& votes, const std::optional<KnownPrimary>&, bool suspects);

private:
    HostName m_self;
    const GroupSettings* m_settings;
    WatcherVote m_vote;
    Instant m_castAt {};
};

} // namespace Auburnpost::Group
