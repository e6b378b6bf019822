#pragma once

#include "base/Expected.h"
#include "proxy/ProxySettings.h"

#include <string>
#include <string_view>

namespace Auburnpost::Platform {

/// @return the path of the settings file, which the platform sets in the environment; empty if it is not set.
std::string settingsPath();

/// Reads a host's settings.
/// @param metricsPort port of the metrics server, which is part of the deployment and not of the settings.
/// @return the settings, or ErrorCode::BadSettings; its message names a missing field, but not one with an invalid
/// value.
Expected<Proxy::ProxySettings> readSettings(std::string_view text, std::uint16_t metricsPort);

} // namespace Auburnpost::Platform
