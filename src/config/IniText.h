#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// One "key = value" of an INI text.
struct IniEntry {
    std::string section;
    std::string key;
    /// Lines of a continued value are joined by '\n'.
    std::string value;
    int line { 0 };
};

/// One "[name]" of an INI text.
struct IniSection {
    std::string name;
    int line { 0 };
};

/// A line that is no INI.
struct IniFault {
    int line { 0 };
    std::string message;
};

/// An INI text, taken apart and not yet interpreted.
struct IniText {
    std::vector<IniSection> sections;
    std::vector<IniEntry> entries;
    std::vector<IniFault> faults;

    static IniText parse(std::string_view text);
};

} // namespace Auburnpost::Config
