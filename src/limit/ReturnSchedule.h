#pragma once

#include "base/Time.h"

namespace Auburnpost::Limit {

/// Spreads the times at which refused callers are told to return, so that they do not return in one moment.
class ReturnSchedule {
public:
    /// @param earliest time until a returning request is expected to find room.
    /// @param gap time between two returning requests that the capacity allows.
    /// @param latest the longest delay that is given; callers above the capacity share the times up to then.
    /// @return the delay to give to a caller that is refused now: the earliest one for the first, then one gap more for
    /// each.
    Duration next(Instant now, Duration earliest, Duration gap, Duration latest)
    {
        m_lastReturnAt = m_lastReturnAt + gap;
        if (m_lastReturnAt < now + earliest || m_lastReturnAt > now + latest)
            m_lastReturnAt = now + earliest;
        return m_lastReturnAt - now;
    }

private:
    Instant m_lastReturnAt {};
};

} // namespace Auburnpost::Limit
