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

/// A database and its group of targets.
struct DatabasePlacement {
    static constexpr unsigned defaultHomes = 3;

    std::vector<TargetPlacement> targets;
    /// Maximum number of connections that each target accepts.
    unsigned connectionCap { 0 };
    /// Maximum number of statements that each target executes concurrently.
    unsigned slots { 0 };
    /// Number of hosts that hold connections to the group.
    unsigned homes { defaultHomes };
};

/// An organisation: its permitted databases, its keys and its weight.
struct Organisation {
    std::set<DatabaseName> databases;
    /// Digests of the accepted keys.
    std::vector<KeyDigest> keys;
    /// Share under contention, relative to other organisations.
    unsigned weight { 1 };

    /// @return whether @p key is one of the organisation's keys. The time does not depend on which key matches.
    [[nodiscard]] bool acceptsKey(std::string_view key) const;
};

/// Maximum ages that an organisation accepts for reads of one database.
struct DatabaseStaleness {
    Duration defaultAge {};
    /// Maximum ages by purpose, such as "browse".
    std::map<std::string, Duration> purposes;
};

/// Maximum ages that an organisation accepts for reads.
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

    /// @param purpose the purpose of the read; the database's default applies if it is empty or unknown.
    /// @return the maximum age for a read that does not state one.
    [[nodiscard]] Duration maximumAge(
        const OrganisationName&, const DatabaseName&, const std::string& purpose = {}) const;
};

/// Section "maintenance".
struct Maintenance {
    /// Targets that receive no new work.
    std::set<TargetName> leavingTargets;
    /// Planned switchovers: the requested primary by database.
    std::map<DatabaseName, TargetName> switchovers;
};

/// The operators' configuration document in typed form, documented in docs/DOCUMENT.md.
struct Document {
    ConfigVersion version;
    /// Section "placement".
    std::map<DatabaseName, DatabasePlacement> databases;
    /// Section "organisations".
    std::map<OrganisationName, Organisation> organisations;
    Staleness staleness;
    Maintenance maintenance;

    /// @return the database's placement; null if the document lacks the database.
    [[nodiscard]] const DatabasePlacement* database(const DatabaseName&) const;
    /// @return the organisation; null if the document lacks it.
    [[nodiscard]] const Organisation* organisation(const OrganisationName&) const;
};

} // namespace Auburnpost::Config
