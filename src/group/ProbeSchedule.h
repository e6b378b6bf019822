#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Decides when each member is asked for its status.
class ProbeSchedule {
public:
    explicit ProbeSchedule(const GroupSettings&);

    /// Sends the probes that are due.
    void tick(Instant now, CommandOutbox&, const MemberTable&);
    /// Brings the next probe of a target forward after a failure.
    void failed(Instant now, const TargetName&);
    /// Makes every probe due with the next tick.
    void hurry() { m_nextAt.clear(); }

private:
    const GroupSettings* m_settings;
    std::map<TargetName, Instant> m_nextAt;
};

} // namespace Auburnpost::Group
