#pragma once

#include <string>

namespace Auburnpost::Config {

/// One fault in a settings file.
struct SettingsProblem {
    std::string file;
    /// Line counted from 1; 0 when the fault is that something is absent.
    int line { 0 };
    /// "section.key", or "section" when the fault is in the section itself.
    std::string key;
    std::string message;

    bool operator==(const SettingsProblem&) const = default;

    /// @return "file:line: section.key: message", without the line when there is none.
    [[nodiscard]] std::string describe() const;
};

} // namespace Auburnpost::Config
