#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// Finds the line on which each member and element of a JSON text stands.
class LineIndex {
public:
    /// A member that its object has more than once.
    struct Duplicate {
        /// JSON pointer.
        std::string path;
        int line;
    };

    /// Where the text stops being JSON.
    struct SyntaxFault {
        int line;
        std::string message;
    };

    LineIndex() = default;
    explicit LineIndex(std::string_view text);

    /// @param path JSON pointer.
    /// @return the line counted from 1 of the value, or of the nearest one around it that the text has; 0 for no text.
    [[nodiscard]] int line(std::string path) const;
    [[nodiscard]] const std::vector<Duplicate>& duplicates() const { return m_duplicates; }
    /// @return the first fault; the text is JSON when there is none.
    [[nodiscard]] const std::vector<SyntaxFault>& faults() const { return m_faults; }

private:
    class Recorder;

    std::map<std::string, int> m_lines;
    std::vector<Duplicate> m_duplicates;
    std::vector<SyntaxFault> m_faults;
};

} // namespace Auburnpost::Config
