#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// A document and its problems.
struct ParsedDocument {
    /// Complete only if there is no problem of severity Error.
    Document document;
    /// Errors and warnings in the order of the sections.
    std::vector<DocumentProblem> problems;

    [[nodiscard]] bool isAccepted() const { return !hasErrors(problems); }
};

/// Parses a whole document and checks it within and across its sections.
/// @param text JSON `{"sections":{…}}`, as written by operators or stored by the platform.
/// @param version the version that the platform assigned to the document; 0 if it is not stored yet.
ParsedDocument parseDocument(std::string_view text, ConfigVersion version = ConfigVersion(0));

/// @return the names of the sections, in the order of their documentation.
const std::vector<std::string_view>& sectionNames();
/// @return whether the document has a section of this name.
bool isSection(std::string_view name);

} // namespace Auburnpost::Config
