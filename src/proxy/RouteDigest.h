#pragma once

#include "proxy/Catalog.h"

namespace Auburnpost::Proxy {

/// A digest of all that a route states; equal for equal routes on all hosts.
using RouteDigest = StrongId<std::uint64_t, struct RouteDigestTag>;

[[nodiscard]] RouteDigest digestOf(const Route&);

/// The route of a database by which a host forwards a session, as it states it to the host that serves the session.
struct StatedRoute {
    /// Version of the configuration that the route is from.
    ConfigVersion version;
    /// Empty if the host is of a version of the program that states none.
    std::optional<RouteDigest> digest {};

    bool operator==(const StatedRoute&) const = default;
};

} // namespace Auburnpost::Proxy
