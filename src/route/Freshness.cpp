#include "route/Freshness.h"

namespace Auburnpost::Route {

bool Freshness::isSatisfiedBy(const LogPoint& end, std::optional<Duration> age) const
{
    if (!end.covers(required))
        return false;
    if (!maxAge)
        return true;
    return age && *age <= *maxAge;
}

} // namespace Auburnpost::Route
