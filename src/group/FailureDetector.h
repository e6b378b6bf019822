#pragma once

#include "group/GroupSettings.h"
#include "group/MemberTable.h"

#include <string_view>

namespace Auburnpost::Group {

/// Why the primary is taken for failed.
enum class Suspicion {
    None,
    /// No member was seen as primary.
    NoPrimary,
    /// The primary has not answered within the silence limit.
    Silent,
    /// The primary's host refuses connections.
    Refused,
    /// The target is primary no more, such as after a restart.
    Demoted,
    /// So many members are fenced above the primary's term that nothing can become durable.
    Blocked,
};

/// @return "none", "no_primary", "silent", "refused", "demoted" or "blocked".
std::string_view toString(Suspicion);

/// Decides whether this watcher takes the primary for failed. Lag and slowness of a target don't count, only missing
/// answers do; time in which this watcher itself did not run is not held against anyone.
class FailureDetector {
public:
    FailureDetector(Instant now, const GroupSettings&);

    /// Notes that the watcher runs; a long gap since the last call starts the silence anew.
    void running(Instant now);
    /// Notes that another target became primary.
    void primaryChanged(Instant now);
    [[nodiscard]] Suspicion suspicion(Instant now, const MemberTable&) const;

private:
    const GroupSettings* m_settings;
    Instant m_lastRun;
    /// Silence is counted from here at the earliest.
    Instant m_countedFrom;
};

} // namespace Auburnpost::Group
