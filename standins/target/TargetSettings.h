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
    /// Where it takes connections of PostgreSQL's protocol.
    SocketAddress address;
    /// Where it takes faults, replication and questions about its state.
    SocketAddress control;
    /// The primary of term 1.
    TargetName initialPrimary;
    /// Statements executed at a time.
    std::int64_t slots { 0 };
    std::int64_t maxConnections { 0 };
    Duration connectTime {};
    /// Time that one statement holds its slot.
    Duration statementTime {};
    Duration replicationLag {};
    /// Longest wait for another transaction's write lock.
    Duration lockTimeout {};
    /// Folder for what a restart keeps; empty keeps nothing.
    std::string stateDirectory;
    std::uint64_t seed { 0 };
    /// Control address of every member of the group.
    std::map<TargetName, SocketAddress> members;
    /// One-way delay to each data centre; none to those not listed.
    std::map<DataCentreName, Duration> delays;
    /// Statements of the first entry of the log.
    std::vector<std::string> schema;

    [[nodiscard]] Duration delayTo(const DataCentreName&) const;

    /// Reads the sections [target], [members], [delays_ms] and [schema] of an INI file.
    /// @return the settings, or ErrorCode::BadSettings with the key at fault.
    static Expected<TargetSettings> read(const std::string& path);
};

} // namespace Auburnpost::Standin
