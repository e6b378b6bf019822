#pragma once

#include "proxy/StoreFollower.h"

#include "base/SocketAddress.h"

#include <vector>

namespace Auburnpost::Proxy {

/// The other hosts, as their records in the store tell. A record may outlive its host, so an address is only a try.
class HostDirectory {
public:
    /// Records change when hosts are added or replaced; a relay is a second way, so an old list costs little.
    static constexpr Duration readInterval = std::chrono::seconds(12);
    static constexpr Duration writeRetry = std::chrono::seconds(1);

    HostDirectory(HostName self, SocketAddress relay, StoreActions&);

    /// Writes the own record until that is acknowledged, and reads the others' now and then.
    void tick(Instant now);
    void written(bool isAcknowledged) { m_isWritten = m_isWritten || isAcknowledged; }
    void read(const StorePage&);
    /// @return where other hosts relay.
    [[nodiscard]] const std::vector<SocketAddress>& relays() const { return m_relays; }

    [[nodiscard]] static std::string encode(const SocketAddress&);

private:
    HostName m_self;
    SocketAddress m_relay;
    StoreActions& m_actions;
    std::vector<SocketAddress> m_relays;
    bool m_isWritten { false };
    Instant m_writeAt {};
    Instant m_readAt {};
};

} // namespace Auburnpost::Proxy
