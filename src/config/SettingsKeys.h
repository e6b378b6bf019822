#pragma once

#include "config/SettingsValues.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// One key of the settings file: how it is read and what docs/SETTINGS.md says of it.
struct SettingsKey {
    std::string_view section;
    std::string_view key;
    /// Kind of value, such as "duration" or "IP:PORT".
    std::string_view unit;
    /// Value of a key that the file leaves out: nothing when it must be there, empty text for "none".
    std::optional<std::string_view> defaultText;
    std::string_view meaning;
    /// Whether the value may run over several lines.
    bool isList;
    /// Reads the value into its place.
    ValueCheck (*read)(std::string_view text, Settings&);
};

/// A condition over several keys.
struct SettingsRule {
    /// The key that a problem names.
    std::string_view section;
    std::string_view key;
    ValueCheck (*check)(const Settings&);
};

/// @return every key that a settings file may have, section by section.
const std::vector<SettingsKey>& settingsKeys();
/// @return the conditions that hold between keys.
const std::vector<SettingsRule>& settingsRules();

} // namespace Auburnpost::Config
