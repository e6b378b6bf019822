#pragma once

#include "base/Expected.h"
#include "proxy/ProxySettings.h"

#include <string>
#include <string_view>

namespace Auburnpost::Platform {

/// @return the path of the settings file, which the platform puts into the environment; empty without one.
std::string settingsPath();

/// Reads a host's settings.
/// @param metricsPort the port of the metrics, which the deployment chooses.
/// @return the settings, or ErrorCode::BadSettings with the field that is missing or wrong.
Expected<Proxy::ProxySettings> readSettings(std::string_view text, std::uint16_t metricsPort);

} // namespace Auburnpost::Platform
