#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Sends follow commands to members that do not replicate from the current primary.
class ReplicationSupervisor {
public:
    explicit ReplicationSupervisor(const GroupSettings&);

    /// Sends a follow command to every other member at once; for the watcher that has just promoted the primary.
    void followAll(Instant now, CommandOutbox&, const MemberTable&);
    /// Sends a follow command to each member that does not replicate from the primary, once per interval.
    /// @param rank rank of this watcher; each watcher before it gets a head start of one interval.
    void tick(Instant now, CommandOutbox&, const MemberTable&, std::size_t rank);

private:
    void send(Instant now, CommandOutbox&, const KnownPrimary&, const TargetName&);

    const GroupSettings* m_settings;
    /// Earliest moment of the next follow command to each member that needs one.
    std::map<TargetName, Instant> m_nextSendAt;
    /// Last term for which a follow command to the member was logged.
    std::map<TargetName, Term> m_loggedTerm;
};

} // namespace Auburnpost::Group
