#pragma once

#include "config/Settings.h"
#include "config/SettingsProblem.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Auburnpost {

/// Reads and validates a settings file and the signing key file that it names.
/// @return the settings with SessionSettings::signingKey filled in, or every problem found.
tl::expected<Config::Settings, std::vector<Config::SettingsProblem>> loadSettings(const std::string& path);

} // namespace Auburnpost
