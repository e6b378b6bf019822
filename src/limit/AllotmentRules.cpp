#include "limit/AllotmentRules.h"

#include <chrono>

namespace Auburnpost::Limit {

namespace {

    // Parts of the tolerated overage of rate x window. The rest, a quarter, is a reserve for hosts that know a lower
    // number of hosts than the others.
    constexpr double rateShare = 0.25;
    constexpr double capacityShare = 0.5;

} // namespace

double AllotmentRules::creationRate(const AllotmentLimit& limit) const
{
    return limit.ratePerSecond * (1 + rateShare * overage);
}

double AllotmentRules::capacity(const AllotmentLimit& limit) const
{
    if (limit.ratePerSecond <= 0 && limit.burst <= 0)
        return 0;
    const auto seconds = std::chrono::duration<double>(window).count();
    return limit.burst * (1 + overage) + slack + capacityShare * overage * limit.ratePerSecond * seconds;
}

} // namespace Auburnpost::Limit
