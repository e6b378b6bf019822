#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"

#include <vector>

namespace Auburnpost::Route {

/// The state of a session in one database: what it has read and what it may have written.
struct SessionEntry {
    /// Highest point that the session has seen; every later read has to cover it.
    LogPoint seen;
    /// Writes whose outcome was unknown in the last answer about them.
    std::vector<OutcomeKey> unresolved;

    bool operator==(const SessionEntry&) const = default;
};

} // namespace Auburnpost::Route
