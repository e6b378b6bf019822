#pragma once

#include "config/Document.h"
#include "config/JsonReader.h"

namespace Auburnpost::Config {

/// Name and reading function of one section.
struct SectionDefinition {
    std::string_view name;
    /// Reads the section into the document and reports problems within the section.
    void (*read)(JsonReader&, const Json& section, Document&);
};

/// @return the sections, each after the sections that it refers to.
const std::vector<SectionDefinition>& sectionDefinitions();

} // namespace Auburnpost::Config
