#pragma once

#include "proxy/HostEntry.h"
#include "proxy/StoreFollower.h"

#include <vector>

namespace Auburnpost::Proxy {

/// The hosts, as their records in the store tell. A record may outlive its host, so an address is only a try.
class HostDirectory {
public:
    /// Records change when hosts are added or replaced; an old list only costs a second try.
    static constexpr Duration readInterval = std::chrono::seconds(12);
    /// The same after a change, as hosts are often added one after the other.
    static constexpr Duration changedInterval = std::chrono::seconds(2);
    static constexpr Duration writeRetry = std::chrono::seconds(1);

    HostDirectory(HostEntry self, StoreActions&);

    /// Writes the own record until that is acknowledged, and reads the others' now and then.
    void tick(Instant now);
    void written(bool isAcknowledged) { m_isWritten = m_isWritten || isAcknowledged; }
    /// @return whether the list changed.
    bool read(Instant now, const StorePage&);
    /// @return every host, this one included.
    [[nodiscard]] const std::vector<HostEntry>& hosts() const { return m_hosts; }
    /// @return where other hosts relay.
    [[nodiscard]] const std::vector<SocketAddress>& relays() const { return m_relays; }

    [[nodiscard]] static std::string encode(const HostEntry&);

private:
    HostEntry m_self;
    StoreActions& m_actions;
    std::vector<HostEntry> m_hosts;
    std::vector<SocketAddress> m_relays;
    bool m_isWritten { false };
    Instant m_writeAt {};
    Instant m_readAt {};
};

} // namespace Auburnpost::Proxy
