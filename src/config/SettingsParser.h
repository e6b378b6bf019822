#pragma once

#include "config/Settings.h"
#include "config/SettingsProblem.h"

#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Auburnpost::Config {

/// Reads INI text. Reads no file itself: SessionSettings::signingKeyFile is left for the caller to load.
/// @param file name of the text's file, for messages.
/// @return the settings, or every problem found, in the order of the lines.
tl::expected<Settings, std::vector<SettingsProblem>> parseSettings(std::string_view file, std::string_view text);

} // namespace Auburnpost::Config
