#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Auburnpost::Proxy {

/// How fresh the reads of a route must be.
enum class Consistency : std::uint8_t {
    /// Every commit acknowledged before the read.
    Current,
    /// Every commit that is older than the route's allowance.
    BoundedStaleness,
    /// As BoundedStaleness, and every commit of the same session.
    ReadYourWrites,
};

/// How the statements of one database are served.
struct Route {
    GroupName group;
    Consistency consistency { Consistency::Current };
    /// Time limit of one statement.
    Duration statementTimeout {};
    /// 0 is the most urgent.
    std::uint32_t priority { 0 };
    Duration maxStaleness {};
};

struct GroupRules {
    /// Connections that one target admits, from all hosts together.
    std::size_t connectionLimit { 0 };
    /// Replicas that must have received a commit before it is acknowledged.
    std::size_t syncReplicas { 0 };
};

/// The operators' configuration, as far as the proxy follows it.
struct Catalog {
    ConfigVersion version;
    std::map<DatabaseName, Route> routes;
    std::map<GroupName, GroupRules> groups;
    /// An open transaction without a statement for so long is rolled back.
    Duration transactionIdleLimit {};
};

} // namespace Auburnpost::Proxy
