#pragma once

#include <chrono>
#include <cstdint>

namespace Auburnpost {

using Duration = std::chrono::microseconds;

/// Clock of the decision logic. It has no now(): callers pass the current time as an argument.
struct DecisionClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<DecisionClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A time on this host's monotonic clock. Instants of two hosts cannot be compared.
using Instant = DecisionClock::time_point;

/// @return the duration in whole milliseconds, rounded down.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Auburnpost
