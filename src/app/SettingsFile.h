#pragma once

#include "config/Settings.h"
#include "config/SettingsProblem.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Auburnpost {

/// Reads and checks a settings file, and the file of the signing key that it names.
/// @return the settings with SessionSettings::signingKey in place, or every problem found.
tl::expected<Config::Settings, std::vector<Config::SettingsProblem>> loadSettings(const std::string& path);

} // namespace Auburnpost
