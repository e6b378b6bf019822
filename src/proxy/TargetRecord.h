#pragma once

#include "base/SocketAddress.h"
#include "proxy/Ids.h"

#include <cstddef>

namespace Auburnpost::Proxy {

/// The record that a target registers about itself.
struct TargetRecord {
    TargetName name;
    GroupName group;
    SocketAddress address;
    DataCentreName dataCentre;
    /// Number of statements that the target runs concurrently.
    std::size_t slots { 1 };
    bool isLeaving { false };
    /// Whether the target was primary when it last wrote its record.
    bool reportsPrimary { false };
    TargetIncarnation incarnation;

    bool operator==(const TargetRecord&) const = default;
};

} // namespace Auburnpost::Proxy
