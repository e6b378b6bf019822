#pragma once

#include "base/Random.h"
#include "base/Time.h"
#include "limit/Backoff.h"

#include <cstdint>
#include <optional>

namespace Auburnpost::Limit {

struct RetryPolicySettings {
    /// Maximum number of attempts of one request, the first included.
    std::uint32_t attempts { 3 };
    BackoffSettings backoff { 20ms, 1s };
};

/// Decides when a failed request is retried: exponential back-off with full jitter, never past its deadline.
class RetryPolicy {
public:
    explicit RetryPolicy(RetryPolicySettings settings = {})
        : m_settings(settings)
    {
    }

    /// @param attempts number of attempts made so far.
    /// @param deadline of the request as a whole.
    /// @param cost expected duration of one attempt.
    /// @param notBefore earliest start, such as the end of a cool-down.
    /// @return the start of the next attempt; empty when there is to be none.
    [[nodiscard]] std::optional<Instant> nextStart(
        Instant now, std::uint32_t attempts, Instant deadline, Duration cost, Instant notBefore, RandomEngine&) const;

private:
    RetryPolicySettings m_settings;
};

} // namespace Auburnpost::Limit
