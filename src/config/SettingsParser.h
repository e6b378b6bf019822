#pragma once

#include "config/Settings.h"
#include "config/SettingsProblem.h"

#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Auburnpost::Config {

/// Parses settings from INI text. Does not access files: the caller loads SessionSettings::signingKeyFile.
/// @param file file name to use in problems.
/// @return the settings, or all problems found, sorted by line.
tl::expected<Settings, std::vector<SettingsProblem>> parseSettings(std::string_view file, std::string_view text);

} // namespace Auburnpost::Config
