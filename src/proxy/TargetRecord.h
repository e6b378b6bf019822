#pragma once

#include "base/SocketAddress.h"
#include "proxy/Ids.h"

#include <cstddef>

namespace Auburnpost::Proxy {

/// What a target registered of itself.
struct TargetRecord {
    TargetName name;
    GroupName group;
    SocketAddress address;
    DataCentreName dataCentre;
    /// Statements that it runs at a time.
    std::size_t slots { 1 };
    bool isLeaving { false };
    /// As the target saw itself when it last wrote its record.
    bool claimsPrimary { false };
    TargetIncarnation incarnation;

    bool operator==(const TargetRecord&) const = default;
};

} // namespace Auburnpost::Proxy
