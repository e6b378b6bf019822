#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"

#include <vector>

namespace Auburnpost::Route {

/// What a session has seen, and may have written, in one database.
struct SessionEntry {
    /// Every later read has to cover this point.
    LogPoint seen;
    /// Writes whose outcome was unknown when the session last heard of them.
    std::vector<OutcomeKey> unsettled;

    bool operator==(const SessionEntry&) const = default;
};

} // namespace Auburnpost::Route
