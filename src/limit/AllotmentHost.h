#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

namespace Auburnpost::Limit {

/// A host that takes part in the distribution of permits.
struct AllotmentHost {
    HostName name;
    DataCentreName dataCentre;
    /// Address for datagrams.
    SocketAddress address;
    /// Relative probability of being the coordinator, such as the host's processor share.
    double weight { 1 };

    bool operator==(const AllotmentHost&) const = default;
};

} // namespace Auburnpost::Limit
