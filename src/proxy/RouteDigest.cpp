#include "proxy/RouteDigest.h"

#include <xxhash.h>

namespace Auburnpost::Proxy {

RouteDigest digestOf(const Route& route)
{
    auto text = route.group.value();
    for (const auto number : { static_cast<std::int64_t>(route.consistency), toMilliseconds(route.statementTimeout),
             static_cast<std::int64_t>(route.priority), toMilliseconds(route.maxStaleness),
             toMilliseconds(route.latencyTarget), static_cast<std::int64_t>(route.isPublic) })
        text.append(" ").append(std::to_string(number));
    return RouteDigest(XXH3_64bits(text.data(), text.size()));
}

} // namespace Auburnpost::Proxy
