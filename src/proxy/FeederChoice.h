#pragma once

#include "base/Time.h"
#include "proxy/HostEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// Chooses from whom this host follows the store's tables. In a data centre with many hosts a few of them, the feeders,
/// follow the store, and the others follow a feeder, so that the calls to the store do not grow with the hosts. Nothing
/// depends on who is a feeder: any host answers any other, with the age of what it knows.
class FeederChoice {
public:
    /// Feeders in each data centre.
    static constexpr std::size_t feeders = 2;
    /// With fewer hosts in a data centre, feeders would save few calls, and every host follows the store.
    static constexpr std::size_t minHosts = 10;
    /// Time for which a host follows the store after a feeder failed. Going to the store at once instead of trying the
    /// next feeder keeps the delay of a change within its bound when all feeders stop together.
    static constexpr Duration storeTime = std::chrono::seconds(3);
    /// Time for which a feeder that failed is avoided.
    static constexpr Duration avoidanceTime = std::chrono::seconds(10);

    FeederChoice(HostName self, DataCentreName);

    /// @param hosts all known hosts, including this one.
    void setHosts(const std::vector<HostEntry>& hosts);
    /// @return whether the data centre has enough hosts for feeders.
    [[nodiscard]] bool areUsed() const { return m_areUsed; }
    /// @return the address of the feeder to follow; empty if this host follows the store.
    [[nodiscard]] std::optional<SocketAddress> feeder(Instant now);
    /// Records that the feeder did not answer, or with too old a table.
    void recordFailure(Instant now, const SocketAddress&);

private:
    HostName m_self;
    DataCentreName m_dataCentre;
    /// The hosts of this data centre that answer feed requests, in order of preference.
    std::vector<HostEntry> m_ranked;
    bool m_areUsed { false };
    std::map<SocketAddress, Instant> m_avoidedUntil;
    Instant m_followsStoreUntil {};
};

} // namespace Auburnpost::Proxy
