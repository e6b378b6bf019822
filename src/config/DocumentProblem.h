#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Auburnpost::Config {

enum class ProblemSeverity : std::uint8_t {
    /// The document is accepted nevertheless.
    Warning,
    /// The document is rejected.
    Error,
};

/// A problem found in the operators' document.
struct DocumentProblem {
    ProblemSeverity severity { ProblemSeverity::Error };
    /// The section that has to be corrected; empty if the problem belongs to no section.
    std::string section;
    /// JSON pointer inside the section, such as "/databases/sizing-core-1/slots".
    std::string path;
    /// 1-based line in the submitted text; 0 if the problem is not located in that text.
    int line { 0 };
    std::string message;

    bool operator==(const DocumentProblem&) const = default;

    /// @return "error: section placement, line 12, /databases/…: message".
    [[nodiscard]] std::string describe() const;
};

/// @return whether any problem has severity Error, so that the document is rejected.
bool hasErrors(const std::vector<DocumentProblem>&);

} // namespace Auburnpost::Config
