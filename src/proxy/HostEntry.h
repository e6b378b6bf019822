#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

namespace Auburnpost::Proxy {

/// What a host tells the others of itself.
struct HostEntry {
    HostName name;
    DataCentreName dataCentre;
    /// Where it relays connections to targets.
    SocketAddress relay;
    /// Where it takes callers' sessions from other hosts.
    SocketAddress sessions;

    bool operator==(const HostEntry&) const = default;
};

} // namespace Auburnpost::Proxy
