#pragma once

#include "process/ConfigDriver.h"
#include "process/ConfigSite.h"

#include <cstdint>
#include <string>

namespace Auburnpost::Test {

/// A run of hosts under faults, checked from what their callers saw.
struct ConfigSoak {
    ConfigSiteOptions site;
    ConfigFaults faults;
    std::chrono::milliseconds time { 0 };

    /// Plays one seed and prints a line about it. Violations are printed too, and the hosts' logs kept.
    /// @return the number of requests that broke a bound, of statements outside their transaction, and of hosts that
    /// ended by themselves.
    [[nodiscard]] std::size_t run(std::uint64_t seed) const;
};

} // namespace Auburnpost::Test
