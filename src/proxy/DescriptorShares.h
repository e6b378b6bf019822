#pragma once

#include <cstddef>

namespace Auburnpost::Proxy {

/// Maximum number of connections of each kind that a host accepts, so that the process stays within its limit of file
/// descriptors. The remaining descriptors are for connections to targets, to the platform and of peers' requests.
struct DescriptorShares {
    /// Descriptors that are not used for sockets.
    static constexpr std::size_t reserved = 200;

    /// Callers' connections. Each may need a second descriptor, for the host that the session is forwarded to.
    std::size_t callers { 0 };
    /// Sessions forwarded by other hosts.
    std::size_t peerSessions { 0 };
    /// Relayed connections of peers to targets; each needs two descriptors.
    std::size_t relays { 0 };

    /// @param descriptors maximum number of file descriptors that the process may have open.
    explicit DescriptorShares(std::size_t descriptors);
    /// @return the number of descriptors in use when all shares are used up.
    [[nodiscard]] std::size_t total() const { return 2 * callers + peerSessions + 2 * relays; }
};

} // namespace Auburnpost::Proxy
