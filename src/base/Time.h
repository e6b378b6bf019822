#pragma once

#include <chrono>
#include <cstdint>

namespace Auburnpost {

using Duration = std::chrono::microseconds;

/// The clock of all decisions. It has no now(): the time is always handed in.
struct DecisionClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<DecisionClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A moment on the monotonic clock of this host. Moments of two hosts can't be compared.
using Instant = DecisionClock::time_point;

/// @return the duration in whole milliseconds, rounded down.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Auburnpost
