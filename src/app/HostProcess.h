#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Auburnpost {

namespace Config {
    struct Settings;
}

/// Runs a host until SIGTERM or SIGINT has shut it down. SIGUSR1 writes the state to the log.
/// @return the exit status: 0 after a shutdown that aborted nothing, 1 otherwise.
int runHost(const Config::Settings&);

/// Runs a host on a platform; an environment variable names the settings file. SIGHUP reloads the file.
/// @param metricsPort port that serves the metrics, on the host's own address.
/// @return the exit status, as of runHost().
int runProxy(std::uint16_t metricsPort);

} // namespace Auburnpost
