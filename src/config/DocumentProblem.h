#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Auburnpost::Config {

enum class ProblemSeverity : std::uint8_t {
    /// The document is accepted all the same.
    Warning,
    /// The document is refused.
    Error,
};

/// A fault in the operators' document.
struct DocumentProblem {
    ProblemSeverity severity { ProblemSeverity::Error };
    /// The section whose owner has to mend it; empty when it belongs to none.
    std::string section;
    /// JSON pointer inside the section, such as "/databases/sizing-core-1/slots".
    std::string path;
    /// Line counted from 1 in the text as it was handed in; 0 when the place is not in that text.
    int line { 0 };
    std::string message;

    bool operator==(const DocumentProblem&) const = default;

    /// @return "error: section placement, line 12, /databases/…: message".
    [[nodiscard]] std::string describe() const;
};

/// @return whether any of them refuses the document.
bool hasErrors(const std::vector<DocumentProblem>&);

} // namespace Auburnpost::Config
