#pragma once

#include "base/Time.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Observes the age of a host's copy of a table, which is the time since the store last confirmed it.
class CopyAge {
public:
    /// @param confirmedAt when the store last confirmed the copy; empty if it never did.
    /// @param limit the age that is reported.
    /// @return the age if it exceeds the limit for the first time since the copy was confirmed.
    std::optional<Duration> observe(Instant now, std::optional<Instant> confirmedAt, Duration limit);

    /// @return the largest age observed.
    [[nodiscard]] Duration largest() const { return m_largest; }

private:
    std::optional<Instant> m_reportedFor;
    Duration m_largest {};
};

} // namespace Auburnpost::Proxy
