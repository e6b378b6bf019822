#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Auburnpost {

namespace Config {
    struct Settings;
}

/// Runs a host until it is asked to stop (SIGTERM, SIGINT). SIGUSR1 writes the state to the log.
/// @return the exit status: 0 after a stop that cut nothing short, 1 otherwise.
int runHost(const Config::Settings&);

/// Runs a host on the platform whose settings file the environment names. SIGHUP reads it again.
/// @param metricsPort where the metrics are served, on the host's own address.
/// @return as runHost().
int runProxy(std::uint16_t metricsPort);

} // namespace Auburnpost
