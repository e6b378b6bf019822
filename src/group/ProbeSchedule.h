#pragma once

#include "group/CommandOutbox.h"
#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <map>

namespace Auburnpost::Group {

/// Decides when each member is probed for its status.
class ProbeSchedule {
public:
    explicit ProbeSchedule(const GroupSettings&);

    /// Sends the probes that are due.
    void tick(Instant now, CommandOutbox&, const MemberTable&);
    /// Makes the next probe of a target due within failedProbeInterval, after a probe failed.
    void retrySoon(Instant now, const TargetName&);
    /// Makes the probes of all members due with the next tick.
    void probeAllNow() { m_nextAt.clear(); }

private:
    const GroupSettings* m_settings;
    std::map<TargetName, Instant> m_nextAt;
};

} // namespace Auburnpost::Group
