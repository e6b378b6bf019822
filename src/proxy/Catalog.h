#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"
#include "proxy/Organisations.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Auburnpost::Proxy {

/// How fresh the reads of a route must be.
enum class Consistency : std::uint8_t {
    /// Sees every commit acknowledged before the read arrived.
    Current,
    /// Sees every commit acknowledged longer ago than the route's staleness allowance.
    BoundedStaleness,
    /// As BoundedStaleness, and sees every commit of the same session.
    ReadYourWrites,
};

/// How statements for one database are served.
struct Route {
    GroupName group;
    Consistency consistency { Consistency::Current };
    /// Time limit of a statement.
    Duration statementTimeout {};
    /// 0 is the highest priority.
    std::uint32_t priority { 0 };
    /// The staleness allowance, for reads that need not be current.
    Duration maxStaleness {};
    /// Time within which callers expect an operation to be answered; zero if the configuration states none.
    Duration latencyTarget {};
    /// Whether callers are served whatever key they present.
    bool isPublic { false };
};

struct GroupRules {
    /// Connections that one target admits from all hosts together.
    std::size_t connectionLimit { 0 };
    /// Number of replicas that must have received a commit before it is acknowledged.
    std::size_t syncReplicas { 0 };
};

/// The part of the operators' configuration that the proxy uses: the routes of the databases, the rules of the
/// groups, and the organisations.
struct Catalog {
    ConfigVersion version;
    std::map<DatabaseName, Route> routes;
    std::map<GroupName, GroupRules> groups;
    Organisations organisations;
    /// Time without a statement after which an open transaction is rolled back; zero for no limit.
    Duration transactionIdleLimit {};
};

} // namespace Auburnpost::Proxy
