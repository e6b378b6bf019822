#pragma once

#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <string_view>

namespace Auburnpost::Group {

/// Why the primary is considered failed.
enum class Suspicion {
    None,
    /// No member has reported that it is primary.
    NoPrimary,
    /// The primary has not answered within GroupSettings::responseTimeout.
    Unresponsive,
    /// The primary's host refuses connections.
    Refused,
    /// The target is no longer primary, for example after a restart.
    Demoted,
    /// So many members are fenced above the primary's term that no write can become durable.
    Blocked,
};

/// @return "none", "no_primary", "silent", "refused", "demoted" or "blocked".
std::string_view toString(Suspicion);

/// Decides whether this watcher considers the primary failed, for one of the reasons in Suspicion. Lag and slowness of
/// a target are no reasons, and a pause of this watcher's own process does not count as missing answers.
class FailureDetector {
public:
    FailureDetector(Instant now, const GroupSettings&);

    /// Records that the watcher is running; after a gap above the pause limit, missing answers count from @p now.
    void recordRun(Instant now);
    /// Counts missing answers from @p now on, as another target became primary.
    void restartCount(Instant now);
    [[nodiscard]] Suspicion suspicion(Instant now, const MemberTable&) const;

private:
    const GroupSettings* m_settings;
    Instant m_lastRun;
    /// Earliest moment from which missing answers count.
    Instant m_countedFrom;
};

} // namespace Auburnpost::Group
