#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Auburnpost::Proxy {

/// The state in which the schedules of ProtocolModel begin, and the budget of each schedule.
struct ModelScenario {
    enum class Start : std::uint8_t {
        /// All members work.
        Established,
        /// The primary has just crashed.
        PrimaryCrashed,
        /// The primary has just announced its shutdown.
        PrimaryLeaving,
        /// The primary has just been cut off from the replicas that stay.
        PrimaryCut,
    };

    std::string name;
    Start start { Start::Established };
    std::size_t members { 3 };
    /// How many of the replicas announced their shutdown long ago.
    std::size_t leaving { 0 };
    std::size_t faults { 1 };
    std::size_t commits { 1 };
    /// Number of messages that are held back, or of single ticks.
    std::size_t delays { 0 };
    /// Maximum number of steps.
    std::size_t depth { 20 };
};

} // namespace Auburnpost::Proxy
