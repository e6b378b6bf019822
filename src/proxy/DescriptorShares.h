#pragma once

#include <cstddef>

namespace Auburnpost::Proxy {

/// How many connections of each kind a host takes, so that together they stay within its descriptors. The rest is for
/// targets, the platform and peers' questions.
struct DescriptorShares {
    /// Descriptors that are not for sockets.
    static constexpr std::size_t reserved = 200;

    /// Each may take a second descriptor, for the host that its session is passed on to.
    std::size_t callers { 0 };
    /// Sessions that other hosts pass on.
    std::size_t peerSessions { 0 };
    /// Connections of peers to targets; each takes two descriptors.
    std::size_t relays { 0 };

    /// @param descriptors what the process may have open.
    explicit DescriptorShares(std::size_t descriptors);
    /// @return the descriptors that all of them take when they are full.
    [[nodiscard]] std::size_t total() const { return 2 * callers + peerSessions + 2 * relays; }
};

} // namespace Auburnpost::Proxy
