#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <optional>

namespace Auburnpost::Proxy {

/// What a host publishes about itself to other hosts.
struct HostEntry {
    HostName name;
    DataCentreName dataCentre;
    /// Address at which the host relays connections to targets.
    SocketAddress relay;
    /// Address at which the host accepts callers' sessions forwarded by other hosts.
    SocketAddress sessions;
    /// The host's share of a processor. 1 for a host that publishes none, such as one of an older version.
    double processorShare { 1.0 };
    /// Address at which the host answers other hosts' requests for tables; empty if it does not publish one.
    std::optional<SocketAddress> peers {};
    /// Whether the host reads the routes that are stated on forwarded sessions.
    bool readsRoutes { false };

    bool operator==(const HostEntry&) const = default;
};

} // namespace Auburnpost::Proxy
