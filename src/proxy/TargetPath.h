#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The network path to one target: direct, or relayed by another host that reaches the target while this one doesn't.
/// Handles partitions between some hosts and some targets, which would otherwise cause a failover or fail all
/// statements of these hosts for these targets.
class TargetPath {
public:
    /// Interval between attempts through other hosts; a host that can't reach the target itself refuses at once.
    static constexpr Duration relayRetryInterval = std::chrono::milliseconds(60);
    /// Interval at which the direct path is tried again while a relay is in use.
    static constexpr Duration directRetryInterval = std::chrono::milliseconds(1000);

    /// @param start offset of the first relay to try, so that hosts start with different relays.
    /// @return the relay to try next; empty when the next attempt is not due yet or there are no relays.
    std::optional<SocketAddress> nextRelay(Instant now, const std::vector<SocketAddress>& relays, std::size_t start);
    /// @return whether the direct path should be tried while a relay is in use.
    bool shouldTryDirect(Instant now);

    void useRelay(Instant now, const SocketAddress& relay);
    void useDirect() { m_relay.reset(); }
    /// Stops using the relay, which no longer responds.
    void dropRelay() { m_relay.reset(); }
    [[nodiscard]] const std::optional<SocketAddress>& relay() const { return m_relay; }

private:
    std::optional<SocketAddress> m_relay;
    std::optional<Instant> m_relayTriedAt;
    Instant m_directTriedAt {};
    std::size_t m_nextIndex { 0 };
};

} // namespace Auburnpost::Proxy
