#pragma once

#include <cstddef>

namespace Auburnpost::Proxy {

/// Memory for the messages and answers of the connections that a host accepts. The rest of the memory is for the
/// process itself, its tables, its connections to targets, to the platform and to peers, and relays.
struct MemoryShares {
    /// Bytes for callers' connections.
    std::size_t callers { 0 };
    /// Bytes for sessions forwarded by other hosts. They are apart from the callers' bytes, so that callers of this
    /// host can't stop those of other hosts.
    std::size_t peerSessions { 0 };

    /// @param bytes memory that the process may use.
    explicit MemoryShares(std::size_t bytes);
};

} // namespace Auburnpost::Proxy
