#pragma once

#include "base/LogPoint.h"
#include "base/Time.h"

#include <optional>

namespace Auburnpost::Route {

/// Requirements of a read on the log of the target that serves it.
struct Freshness {
    /// Point that the log has to cover, such as the session's last write; any log covers the default.
    LogPoint required;
    /// Maximum age; empty when any age is acceptable, zero when every acknowledged write has to be visible.
    std::optional<Duration> maxAge;

    /// @return whether only the primary can serve the read, after its term is confirmed as not replaced.
    [[nodiscard]] bool needsConfirmedPrimary() const { return maxAge && *maxAge <= Duration::zero(); }
    /// @param end end of the target's log; @param age upper bound of the age of that end, empty when not known.
    [[nodiscard]] bool isSatisfiedBy(const LogPoint& end, std::optional<Duration> age) const;
};

} // namespace Auburnpost::Route
