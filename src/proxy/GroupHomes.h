#pragma once

#include "base/Time.h"
#include "proxy/HostEntry.h"
#include "proxy/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// Determines which hosts connect to the targets of a group. If the targets' connection limit is high enough for all
/// hosts, every host connects and serves its own callers. Otherwise one host in each data centre connects, the group's
/// home there, and the other hosts of the data centre forward their callers' sessions to it. A host is the home of a
/// share of the groups that is proportional to its processor share.
class GroupHomes {
public:
    /// No homes are needed if every host can have at least this many connections to each target of the group.
    static constexpr std::size_t minDirectConnections = 3;
    /// Time for which a host is avoided after it did not accept a session.
    static constexpr Duration avoidanceTime = std::chrono::seconds(5);
    /// Number of hosts that record the members of a group, as the record of a host may outlive it.
    static constexpr std::size_t maxRecorders = 3;

    GroupHomes(HostName self, DataCentreName);

    void setHosts(std::vector<HostEntry>);
    /// Records that the host could not be reached or did not answer, or that the connection to it was lost.
    void recordFailure(Instant now, const HostName&);
    /// Records that the host refused a session on the group, as it may do for one group only.
    void recordRefusal(Instant now, const HostName&, const GroupName&);
    /// @param connectionLimit connections that each target of the group admits from all hosts together.
    /// @return whether homes are needed.
    [[nodiscard]] bool areNeeded(std::size_t connectionLimit) const;
    /// @return whether this host is the group's home in its data centre according to the known hosts.
    [[nodiscard]] bool isHome(const GroupName&) const;
    /// @return the position of this host in the order of the hosts that record the members of the group: first the home
    /// in each data centre, then the other hosts. Empty behind the first maxRecorders, and for a host without a record.
    [[nodiscard]] std::optional<std::size_t> recorderRank(const GroupName&) const;
    /// @return the host to forward sessions on the group to; empty when this host serves them.
    [[nodiscard]] std::optional<HostEntry> homeFor(Instant now, const GroupName&);

private:
    /// @return the hosts of this data centre in order of preference.
    const std::vector<HostEntry>& ranking(const GroupName&) const;

    HostName m_self;
    DataCentreName m_dataCentre;
    std::vector<HostEntry> m_hosts;
    std::map<HostName, Instant> m_avoidedUntil;
    std::map<std::pair<HostName, GroupName>, Instant> m_refusedUntil;
    /// Cache, computed on demand from m_hosts.
    mutable std::map<GroupName, std::vector<HostEntry>> m_rankings;
    mutable std::map<GroupName, std::optional<std::size_t>> m_recorderRanks;
};

} // namespace Auburnpost::Proxy
