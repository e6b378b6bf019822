#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// A "key = value" entry of an INI text.
struct IniEntry {
    std::string section;
    std::string key;
    /// Lines of a continued value are joined by '\n'.
    std::string value;
    int line { 0 };
};

/// A "[name]" header of an INI text.
struct IniSection {
    std::string name;
    int line { 0 };
};

/// A line that is not valid INI.
struct IniFault {
    int line { 0 };
    std::string message;
};

/// A parsed INI text; keys and values are not interpreted yet.
struct IniText {
    std::vector<IniSection> sections;
    std::vector<IniEntry> entries;
    std::vector<IniFault> faults;

    static IniText parse(std::string_view text);
};

} // namespace Auburnpost::Config
