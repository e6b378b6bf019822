#pragma once

#include "process/ConfigHistory.h"

#include <string>
#include <vector>

namespace Auburnpost::Test {

/// The log of a host, as far as the checks need it.
struct ProxyLog {
    /// Times in which the process got no processor time, by its own account.
    std::vector<Disturbance> pauses;
    /// Number of sessions that the host forwarded to another host.
    std::size_t forwardedSessions { 0 };

    /// @param host index of the host, for the disturbances.
    static ProxyLog read(const std::string& path, std::size_t host);
};

} // namespace Auburnpost::Test
