#pragma once

#include "process/GroupDriver.h"

#include <chrono>
#include <cstdint>

namespace Auburnpost::Test {

/// A run of hosts before a database group under faults, checked from what callers and members saw.
struct GroupSoak {
    std::size_t hosts { 5 };
    GroupFaults faults { GroupFaults::All };
    std::chrono::milliseconds time { 0 };

    /// Plays one seed and prints a line about it. Violations and faults are printed too, and the hosts' logs kept.
    /// @return the number of violations.
    [[nodiscard]] std::size_t run(std::uint64_t seed) const;
};

} // namespace Auburnpost::Test
