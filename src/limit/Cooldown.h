#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "limit/Backoff.h"

#include <optional>

namespace Auburnpost::Limit {

/// A pause after a target refused a request, shared by all requests to that target: each of them, including new ones,
/// waits until it ends. It grows with consecutive refusals and lasts at least as long as the target's own Retry-After.
/// Intended for a target that refuses every request, not for one that refuses the load above its capacity:
/// docs/LIMITS.md has the measurement.
class Cooldown {
public:
    explicit Cooldown(BackoffSettings settings = {})
        : m_backoff(settings)
    {
    }

    /// Records that the target refused a request.
    /// @param retryAfter delay that the target asked for; empty when it gave none.
    void recordRefusal(Instant now, std::optional<Duration> retryAfter, RandomEngine&);
    /// Records an answer of the target; the next pause starts from the shortest back-off.
    void recordAnswer() { m_backoff.recordSuccess(); }
    [[nodiscard]] bool isOver(Instant now) const { return now >= m_until; }
    [[nodiscard]] Instant until() const { return m_until; }

private:
    Backoff m_backoff;
    Instant m_until;
};

} // namespace Auburnpost::Limit
