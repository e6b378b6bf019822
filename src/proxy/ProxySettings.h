#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "proxy/Ids.h"

#include <vector>

namespace Auburnpost::Proxy {

/// Settings of one host.
struct ProxySettings {
    HostName host;
    DataCentreName dataCentre;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress peers;
    SocketAddress metrics;
    /// Address at which this host relays peers' connections to targets.
    SocketAddress relay;
    /// Address at which this host accepts callers' sessions forwarded by peers.
    SocketAddress sessions;
    SocketAddress store;
    SocketAddress promotions;
    /// Peers that may be asked for their copies of the store's tables; they may be out of date or down.
    std::vector<SocketAddress> seeds;
    /// Maximum number of file descriptors that the process may have open.
    std::size_t descriptors { 0 };
    /// Time from the shutdown request until the process is killed.
    Duration stopTimeout {};
};

} // namespace Auburnpost::Proxy
