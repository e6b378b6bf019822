#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// A document and what was found wrong with it.
struct ParsedDocument {
    /// Whole only when there is no problem of severity Error.
    Document document;
    /// In the order of the sections, errors and warnings mixed.
    std::vector<DocumentProblem> problems;

    [[nodiscard]] bool isAccepted() const { return !hasErrors(problems); }
};

/// Reads a whole document and checks it within and across its sections.
/// @param text JSON `{"sections":{…}}`, as operators write it or as the platform stores it.
/// @param version the version under which the platform keeps it; 0 when it is kept nowhere yet.
ParsedDocument parseDocument(std::string_view text, ConfigVersion version = ConfigVersion(0));

/// @return the names of the sections, in the order in which they are documented.
const std::vector<std::string_view>& sectionNames();
/// @return whether the document has a section of this name.
bool isSection(std::string_view name);

} // namespace Auburnpost::Config
