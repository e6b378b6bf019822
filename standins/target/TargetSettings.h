#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Auburnpost::Standin {

/// The settings of one target stand-in.
struct TargetSettings {
    TargetName name;
    DatabaseName database;
    DataCentreName dataCentre;
    /// Listen address for connections of PostgreSQL's protocol.
    SocketAddress address;
    /// Listen address for faults, replication and state queries.
    SocketAddress control;
    /// The primary of term 1.
    TargetName initialPrimary;
    /// Maximum number of statements executed at a time.
    std::int64_t slots { 0 };
    std::int64_t maxConnections { 0 };
    /// Time to set up a connection.
    Duration connectTime {};
    /// Time that a statement occupies its slot.
    Duration statementTime {};
    /// Time between receiving and applying a log entry on a replica.
    Duration replicationLag {};
    /// Maximum time to wait for the write lock.
    Duration lockTimeout {};
    /// Directory of the state that survives a restart; empty to store nothing.
    std::string stateDirectory;
    /// Seed of the random choices of faults.
    std::uint64_t seed { 0 };
    /// Control address of every member of the group.
    std::map<TargetName, SocketAddress> members;
    /// One-way network delay to each data centre; zero for data centres that are not listed.
    std::map<DataCentreName, Duration> delays;
    /// Statements of the first log entry.
    std::vector<std::string> schema;

    [[nodiscard]] Duration delayTo(const DataCentreName&) const;

    /// Reads the sections [target], [members], [delays_ms] and [schema] of an INI file.
    /// @return the settings, or ErrorCode::BadSettings with the key at fault.
    static Expected<TargetSettings> read(const std::string& path);
};

} // namespace Auburnpost::Standin
