#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Auburnpost::Test {

using Moment = std::chrono::steady_clock::time_point;

/// A version of the configuration as the operator wrote it.
struct ConfigEdit {
    std::uint64_t version { 0 };
    Moment sentAt;
    Moment acknowledgedAt;
    /// The group of each database that has a route.
    std::map<std::string, std::string> routes;
};

/// A statement, or the opening of a session that was refused, as its caller saw it.
struct ConfigRequest {
    std::string id;
    std::size_t host { 0 };
    /// Counts the starts of the host.
    unsigned boot { 0 };
    bool isOnOpenConnection { false };
    std::string database;
    Moment sentAt;
    Moment endedAt;
    /// The group that ran the statement; empty if the database was refused as unknown.
    std::string group;
};

/// A time in which a host was not in touch: a fault of its own or of the store.
struct Disturbance {
    static constexpr std::size_t allHosts = static_cast<std::size_t>(-1);

    std::size_t host { allHosts };
    Moment from;
    Moment until;
    std::string cause;
};

/// All that a run leaves for the check.
struct ConfigHistory {
    /// By ascending version.
    std::vector<ConfigEdit> edits;
    std::vector<Disturbance> disturbances;
    std::vector<ConfigRequest> requests;
};

} // namespace Auburnpost::Test
