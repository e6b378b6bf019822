#pragma once

#include "base/Time.h"

#include <sys/time.h>

namespace Auburnpost::Wire {

/// @return the duration as libevent expects it.
inline timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return { static_cast<time_t>(seconds.count()), static_cast<suseconds_t>((duration - seconds).count()) };
}

} // namespace Auburnpost::Wire
