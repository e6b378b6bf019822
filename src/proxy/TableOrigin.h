#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "proxy/Ids.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Where a host's copy of a table came from, and how old it may be.
struct TableOrigin {
    /// When the store last answered with the changes up to then; empty if it never did.
    std::optional<Instant> confirmedAt;
    /// The peer whose copy was adopted since then.
    std::optional<SocketAddress> peer;
    /// The store's version that the copy reflects.
    RowVersion asOf;
};

} // namespace Auburnpost::Proxy
