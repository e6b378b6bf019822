#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Auburnpost::Member {

struct HostRecord;

/// A database, the data centres of its targets, and the number of homes to choose for it.
struct PlacementRequirements {
    DatabaseName database;
    DataCentreName primaryDataCentre;
    /// Data centres with a replica of the database.
    std::vector<DataCentreName> replicaDataCentres;
    /// Number of homes that the database needs.
    std::size_t homes { 0 };
};

/// Chooses the homes of databases by weighted rendezvous hashing. All hosts with the same view of the membership choose
/// the same homes, and the loss of a host reassigns only the homes that this host had.
class HomePlacement {
public:
    /// @param hosts the known hosts; only those that are live and not leaving are candidates.
    explicit HomePlacement(const std::vector<HostRecord>& hosts);

    /// Chooses one home in the primary's data centre, then one in each data centre with a replica, as far as these
    /// have candidates and the number of homes allows. The remaining homes are chosen by score, with a higher weight
    /// for hosts in the primary's data centre.
    /// @return at most PlacementRequirements::homes hosts, highest score first.
    [[nodiscard]] std::vector<HostName> homes(const PlacementRequirements&) const;

    /// @return the number of hosts that can be homes.
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
