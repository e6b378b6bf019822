#pragma once

#include <string>

namespace Auburnpost::Config {

/// A problem found in a settings file.
struct SettingsProblem {
    std::string file;
    /// 1-based line; 0 if something is missing.
    int line { 0 };
    /// "section.key", or "section" if the problem concerns the section itself.
    std::string key;
    std::string message;

    bool operator==(const SettingsProblem&) const = default;

    /// @return "file:line: section.key: message"; the line is omitted if it is 0.
    [[nodiscard]] std::string describe() const;
};

} // namespace Auburnpost::Config
