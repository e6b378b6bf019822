#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Auburnpost::Member {

struct HostRecord;

/// A database and where its targets are.
struct PlacementDemand {
    DatabaseName database;
    DataCentreName primaryDataCentre;
    /// Data centres that have a replica.
    std::vector<DataCentreName> replicaDataCentres;
    /// How many homes it shall have.
    std::size_t homes { 0 };
};

/// Chooses the homes of databases by weighted rendezvous hash: every host that knows the same hosts chooses the
/// same homes, and a lost host moves only the databases that it held.
class HomePlacement {
public:
    /// @param hosts records of which the live and not leaving ones can be homes.
    explicit HomePlacement(const std::vector<HostRecord>& hosts);

    /// One home is in the primary's data centre and one in each data centre with a replica, where these have hosts
    /// and as far as the number of homes reaches; the rest go by score, with more weight near the primary.
    /// @return up to demand.homes hosts, highest score first.
    [[nodiscard]] std::vector<HostName> homes(const PlacementDemand&) const;

    /// @return how many hosts can be homes.
    [[nodiscard]] std::size_t candidates() const { return m_candidates.size(); }

private:
    struct Candidate {
        HostName name;
        DataCentreName dataCentre;
        std::uint64_t hash { 0 };
    };

    std::vector<Candidate> m_candidates;
};

} // namespace Auburnpost::Member
