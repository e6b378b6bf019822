#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "limit/Backoff.h"

#include <optional>

namespace Auburnpost::Limit {

/// A pause shared by all requests to one target after it refused one: each of them, fresh ones too, waits until it
/// ends. It grows with refusals in a row; the target's own Retry-After is its least length. Meant for a target that
/// takes nothing, not for one that refuses what is above its capacity: docs/LIMITS.md has the measurement.
class Cooldown {
public:
    explicit Cooldown(BackoffSettings settings = {})
        : m_backoff(settings)
    {
    }

    /// The target refused a request.
    /// @param retryAfter what the target asked for; empty when it named nothing.
    void refused(Instant now, std::optional<Duration> retryAfter, RandomEngine&);
    /// The target answered.
    void answered() { m_backoff.succeed(); }
    [[nodiscard]] bool isOver(Instant now) const { return now >= m_until; }
    [[nodiscard]] Instant until() const { return m_until; }

private:
    Backoff m_backoff;
    Instant m_until;
};

} // namespace Auburnpost::Limit
