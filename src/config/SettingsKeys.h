#pragma once

#include "config/SettingsValues.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// One key of the settings file: its parser and its description, which docs/SETTINGS.md repeats.
struct SettingsKey {
    std::string_view section;
    std::string_view key;
    /// Kind of value, such as "duration" or "IP:PORT".
    std::string_view unit;
    /// Default value: nothing if the key is required, empty text if an omitted key has no value.
    std::optional<std::string_view> defaultText;
    std::string_view meaning;
    /// Whether the value may span several lines.
    bool isList;
    /// Parses the value and stores it in the settings.
    ValueCheck (*read)(std::string_view text, Settings&);
};

/// A condition that relates several keys.
struct SettingsRule {
    /// The key to which a violation is attributed.
    std::string_view section;
    std::string_view key;
    ValueCheck (*check)(const Settings&);
};

/// @return all keys of a settings file, grouped by section.
const std::vector<SettingsKey>& settingsKeys();
/// @return the conditions that relate several keys.
const std::vector<SettingsRule>& settingsRules();

} // namespace Auburnpost::Config
