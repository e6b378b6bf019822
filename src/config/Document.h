#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/KeyDigest.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// One server of a database group.
struct TargetPlacement {
    /// Unique in the whole document.
    TargetName name;
    SocketAddress address;
    DataCentreName dataCentre;
};

/// A database and the group of targets that hold it.
struct DatabasePlacement {
    static constexpr unsigned defaultHomes = 3;

    std::vector<TargetPlacement> targets;
    /// Connections that each target admits.
    unsigned connectionCap { 0 };
    /// Statements that each target executes at a time.
    unsigned slots { 0 };
    /// Hosts that hold connections to the group.
    unsigned homes { defaultHomes };
};

/// An organisation: what it may use and how it proves itself.
struct Organisation {
    std::set<DatabaseName> databases;
    /// Any one of them is accepted.
    std::vector<KeyDigest> keys;
    /// Share under contention, relative to other organisations.
    unsigned weight { 1 };

    /// @return whether @p key is one of the organisation's. Takes the same time for each key of the list.
    [[nodiscard]] bool admits(std::string_view key) const;
};

/// Ages that an organisation accepts for the reads of one database.
struct DatabaseStaleness {
    Duration defaultAge {};
    /// Ages by purpose, such as "browse".
    std::map<std::string, Duration> purposes;
};

/// Ages that one organisation accepts.
struct OrganisationStaleness {
    /// For databases that are not listed.
    Duration defaultAge {};
    std::map<DatabaseName, DatabaseStaleness> databases;
};

/// Section "staleness".
struct Staleness {
    /// For organisations that are not listed.
    Duration defaultAge {};
    std::map<OrganisationName, OrganisationStaleness> organisations;

    /// @param purpose a named purpose; an empty or unknown one takes the database's default.
    /// @return greatest age of a read that names none itself.
    [[nodiscard]] Duration allowance(
        const OrganisationName&, const DatabaseName&, const std::string& purpose = {}) const;
};

/// Section "maintenance".
struct Maintenance {
    /// Targets that take no new work.
    std::set<TargetName> leavingTargets;
    /// Primaries to be: the target that shall lead each database.
    std::map<DatabaseName, TargetName> switches;
};

/// The operators' document in typed form. docs/DOCUMENT.md is its reference.
struct Document {
    ConfigVersion version;
    /// Section "placement".
    std::map<DatabaseName, DatabasePlacement> databases;
    /// Section "organisations".
    std::map<OrganisationName, Organisation> organisations;
    Staleness staleness;
    Maintenance maintenance;

    /// @return the database's placement, or null.
    [[nodiscard]] const DatabasePlacement* database(const DatabaseName&) const;
    /// @return the organisation, or null.
    [[nodiscard]] const Organisation* organisation(const OrganisationName&) const;
};

} // namespace Auburnpost::Config
