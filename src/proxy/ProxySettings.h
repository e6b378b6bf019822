#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "limit/AllotmentRules.h"
#include "proxy/Ids.h"
#include "proxy/TimeBounds.h"

#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// Settings of one host.
struct ProxySettings {
    HostName host;
    DataCentreName dataCentre;
    /// Address at which this host accepts callers' sessions.
    SocketAddress callers;
    /// Address of this host's readiness endpoint.
    SocketAddress readiness;
    /// Address at which this host answers peers' requests.
    SocketAddress peers;
    /// Address at which this host exposes its metrics.
    SocketAddress metrics;
    /// Address at which this host relays peers' connections to targets.
    SocketAddress relay;
    /// Address at which this host accepts callers' sessions forwarded by peers.
    SocketAddress sessions;
    /// Address of the platform's store.
    SocketAddress store;
    /// Address at which the platform accepts promotion calls.
    SocketAddress promotions;
    /// Peers that may be asked for their copies of the store's tables; they may be out of date or down.
    std::vector<SocketAddress> seeds;
    /// Maximum number of file descriptors that the process may have open.
    std::size_t descriptors { 0 };
    /// The host's share of a processor, by which it becomes a home; 1 if the deployment states none.
    double processorShare { 1.0 };
    /// Memory that the process may use, in bytes.
    std::size_t memoryBytes { 0 };
    /// Whether all hosts of the deployment start for the first time.
    bool isFirstStart { false };
    TimeBounds bounds;
    /// The tolerated excess over the organisations' rate limits; empty if limits are not enforced.
    std::optional<Limit::AllotmentRules> allotments;
    /// Time from the shutdown request until the process is killed.
    Duration stopTimeout {};
};

} // namespace Auburnpost::Proxy
