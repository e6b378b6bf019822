#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// The way to one target: direct, or through another host while the direct way is cut and that host has one.
/// Answers a partition between some hosts and some targets, which otherwise costs a failover or all of their work.
class TargetPath {
public:
    /// Between two tries through other hosts; each refuses at once when it has no way itself.
    static constexpr Duration tryInterval = std::chrono::milliseconds(60);
    /// While a relay serves, the direct way is tried again this often.
    static constexpr Duration directInterval = std::chrono::milliseconds(1000);

    /// @return the host through which to try next; empty when it is too early or there is none.
    std::optional<SocketAddress> nextTry(Instant now, const std::vector<SocketAddress>& relays, std::size_t start);
    /// @return whether the direct way should be tried besides the relay.
    bool shouldTryDirect(Instant now);

    void reachedThrough(Instant now, const SocketAddress& relay);
    void reachedDirectly() { m_relay.reset(); }
    /// The relay does not answer any more.
    void lost() { m_relay.reset(); }
    [[nodiscard]] const std::optional<SocketAddress>& relay() const { return m_relay; }

private:
    std::optional<SocketAddress> m_relay;
    std::optional<Instant> m_triedAt;
    Instant m_directTriedAt {};
    std::size_t m_next { 0 };
};

} // namespace Auburnpost::Proxy
