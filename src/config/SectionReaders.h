#pragma once

#include "config/Document.h"
#include "config/JsonReader.h"

namespace Auburnpost::Config {

/// Reads one section into the document and checks what the section alone shows.
struct SectionDefinition {
    std::string_view name;
    void (*read)(JsonReader&, const Json& section, Document&);
};

/// @return the sections, each after those that it names things of.
const std::vector<SectionDefinition>& sectionDefinitions();

} // namespace Auburnpost::Config
