#pragma once

#include "base/Time.h"

namespace Auburnpost::Proxy {

/// Time limits that hosts have to keep, as the deployment sets them.
struct TimeBounds {
    /// Time after the acknowledgement of a configuration within which every host applies it.
    Duration configuration { std::chrono::milliseconds(4000) };
    /// Time after the end of a fault from which on the other limits apply again.
    Duration recovery { std::chrono::milliseconds(5000) };
    /// Time for which statements may still be sent to a target that announced its shutdown or whose record was removed.
    Duration drain { std::chrono::milliseconds(7000) };

    bool operator==(const TimeBounds&) const = default;
};

} // namespace Auburnpost::Proxy
