#include "config/DocumentProblem.h"

#include <algorithm>

namespace Auburnpost::Config {

std::string DocumentProblem::describe() const
{
    std::string text = severity == ProblemSeverity::Error ? "error: " : "warning: ";
    text += section.empty() ? "document" : "section " + section;
    if (line > 0)
        text += ", line " + std::to_string(line);
    if (!path.empty())
        text += ", " + path;
    return text + ": " + message;
}

bool hasErrors(const std::vector<DocumentProblem>& problems)
{
    return std::any_of(problems.begin(), problems.end(),
        [](const DocumentProblem& problem) { return problem.severity == ProblemSeverity::Error; });
}

} // namespace Auburnpost::Config
