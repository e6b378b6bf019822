#pragma once

#include "base/LogPoint.h"
#include "base/Time.h"

#include <optional>

namespace Auburnpost::Route {

/// What a read asks of the target that serves it.
struct Freshness {
    /// The session's own point; the default covers nothing.
    LogPoint required;
    /// Greatest age; empty when any age will do, zero for "past every acknowledged write".
    std::optional<Duration> maxAge;

    /// @return whether only the primary, with its reign confirmed, can serve it.
    [[nodiscard]] bool asOfNow() const { return maxAge && *maxAge <= Duration::zero(); }
    /// @param end where the target's log ended; @param age bound of the age of that end, empty when not known.
    [[nodiscard]] bool isMetBy(const LogPoint& end, std::optional<Duration> age) const;
};

} // namespace Auburnpost::Route
