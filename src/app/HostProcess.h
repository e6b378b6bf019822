#pragma once

#include <optional>
#include <string>

namespace Auburnpost {

namespace Config {
    struct Settings;
}

/// Runs a host until it is asked to stop (SIGTERM, SIGINT). SIGUSR1 writes the state to the log.
/// @return the exit status: 0 after a stop that cut nothing short, 1 otherwise.
int runHost(const Config::Settings&);

} // namespace Auburnpost
