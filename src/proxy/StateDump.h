#pragma once

#include "proxy/GroupService.h"

#include <nlohmann/json_fwd.hpp>

namespace Auburnpost::Proxy {

/// @return the state of a group as JSON, for operators: its members with their logs and fences, the primary, and the
/// promotion calls whose effect was not seen.
nlohmann::json describeGroup(Instant now, const GroupService&);
/// @return as JSON where a copy of a table came from, and the time since the store last confirmed it.
nlohmann::json describeOrigin(Instant now, const TableOrigin&);

} // namespace Auburnpost::Proxy
