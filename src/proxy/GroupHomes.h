#pragma once

#include "base/Time.h"
#include "proxy/HostEntry.h"
#include "proxy/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// Which hosts hold connections to the targets of a group. While the targets' connection limit leaves each host
/// enough, all do, and every host serves its own callers. Otherwise one host in each data centre does, its home there,
/// and the other hosts of the data centre pass their callers' sessions on to it.
class GroupHomes {
public:
    /// Connections to each target from which on a host serves its callers itself.
    static constexpr std::size_t directConnections = 3;
    /// A host that took no session is passed over for so long.
    static constexpr Duration avoidance = std::chrono::seconds(5);

    GroupHomes(HostName self, DataCentreName);

    void setHosts(std::vector<HostEntry>);
    /// The host did not take a session, or broke off one.
    void failed(Instant now, const HostName&);
    /// @param connectionLimit what each target of the group admits from all hosts.
    /// @return whether homes are needed.
    [[nodiscard]] bool areNeeded(std::size_t connectionLimit) const;
    /// @return whether this host is the group's home in its data centre, as far as the list of hosts tells.
    [[nodiscard]] bool isHome(const GroupName&) const;
    /// @return the host that takes sessions on the group from this one; empty when this host serves them.
    [[nodiscard]] std::optional<HostEntry> homeFor(Instant now, const GroupName&);

private:
    /// @return the hosts of this data centre, the first choice first.
    const std::vector<HostEntry>& ranking(const GroupName&) const;

    HostName m_self;
    DataCentreName m_dataCentre;
    std::vector<HostEntry> m_hosts;
    std::map<HostName, Instant> m_avoidedUntil;
    /// Computed on demand for the present hosts.
    mutable std::map<GroupName, std::vector<HostEntry>> m_rankings;
};

} // namespace Auburnpost::Proxy
