#include "config/Backoff.h"

#include <algorithm>

namespace Auburnpost::Config {

Duration jittered(Duration mean, RandomEngine& random)
{
    const auto quarter = mean.count() / 4;
    return Duration(
        std::uniform_int_distribution<Duration::rep>(mean.count() - quarter, mean.count() + quarter)(random));
}

Duration backoff(Duration first, Duration limit, unsigned failures, RandomEngine& random)
{
    auto delay = first;
    for (unsigned each = 0; each < failures && delay < limit; ++each)
        delay *= 2;
    return jittered(std::min(delay, limit), random);
}

} // namespace Auburnpost::Config
