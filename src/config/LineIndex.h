#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// Index of the lines of all members and elements of a JSON text.
class LineIndex {
public:
    /// A repeated member of an object.
    struct Duplicate {
        /// JSON pointer.
        std::string path;
        int line;
    };

    /// Position and message of a syntax error.
    struct SyntaxFault {
        int line;
        std::string message;
    };

    LineIndex() = default;
    explicit LineIndex(std::string_view text);

    /// @param path JSON pointer.
    /// @return the 1-based line of the value, or of its nearest enclosing value if the text lacks the path; 0 if this
    /// index has no text.
    [[nodiscard]] int line(std::string path) const;
    [[nodiscard]] const std::vector<Duplicate>& duplicates() const { return m_duplicates; }
    /// @return the first syntax error; empty if the text is valid JSON.
    [[nodiscard]] const std::vector<SyntaxFault>& faults() const { return m_faults; }

private:
    class Recorder;

    std::map<std::string, int> m_lines;
    std::vector<Duplicate> m_duplicates;
    std::vector<SyntaxFault> m_faults;
};

} // namespace Auburnpost::Config
