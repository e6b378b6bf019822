#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Tells members that don't replicate from the present primary to do so.
class FollowKeeper {
public:
    explicit FollowKeeper(const GroupSettings&);

    /// Tells every other member at once; for the watcher that has just promoted the primary.
    void followAll(Instant now, CommandOutbox&, const MemberTable&);
    /// Tells the members that have gone astray, each once per interval.
    /// @param rank of this watcher; those before it get a head start of an interval each.
    void tick(Instant now, CommandOutbox&, const MemberTable&, std::size_t rank);

private:
    void send(Instant now, CommandOutbox&, const KnownPrimary&, const TargetName&);

    const GroupSettings* m_settings;
    /// When each astray member may be told next.
    std::map<TargetName, Instant> m_nextAt;
    /// The last term in which the log said that a member was told.
    std::map<TargetName, Term> m_loggedTerm;
};

} // namespace Auburnpost::Group
