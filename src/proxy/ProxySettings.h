#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "proxy/Ids.h"

#include <vector>

namespace Auburnpost::Proxy {

/// What a host is told at its start.
struct ProxySettings {
    HostName host;
    DataCentreName dataCentre;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress peers;
    SocketAddress metrics;
    /// Where this host relays connections of its peers to targets.
    SocketAddress relay;
    /// Where this host takes callers' sessions from its peers.
    SocketAddress sessions;
    SocketAddress store;
    SocketAddress promotions;
    /// Hosts that may hand over what the store holds; they may be out of date or down.
    std::vector<SocketAddress> seeds;
    /// Descriptors that the process may have open.
    std::size_t descriptors { 0 };
    /// From the request to stop until the process is killed.
    Duration stopTimeout {};
};

} // namespace Auburnpost::Proxy
