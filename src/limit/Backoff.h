#pragma once

#include "base/Random.h"
#include "base/Time.h"

#include <cstdint>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct BackoffSettings {
    /// Maximum wait after the first failure; it doubles with each further one.
    Duration base { 50ms };
    /// Upper bound of any wait.
    Duration maximum { 5s };
};

/// Exponential back-off with full jitter.
class Backoff {
public:
    explicit Backoff(BackoffSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Counts one failure. @return the time to wait after it.
    Duration recordFailure(RandomEngine&);
    /// Resets the number of failures.
    void recordSuccess() { m_failures = 0; }
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

    /// @param failures number of failures in a row, at least 1.
    /// @return the maximum wait after them.
    [[nodiscard]] static Duration maxDelay(const BackoffSettings&, std::uint32_t failures);

private:
    BackoffSettings m_settings;
    std::uint32_t m_failures { 0 };
};

} // namespace Auburnpost::Limit
