#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

namespace Auburnpost {

/// A host that is a home of some database.
struct HomeRef {
    HostName name;
    DataCentreName dataCentre;
    SocketAddress peerAddress;
};

} // namespace Auburnpost
