#pragma once

#include "config/DocumentParser.h"
#include "config/JsonReader.h"

namespace Auburnpost::Config {

/// Reads and checks the sections of a document; a section that is absent is read as an empty one.
/// @param sections object with the sections by name.
/// @return the document and its problems, which name no line.
ParsedDocument readSections(const Json& sections, ConfigVersion);

} // namespace Auburnpost::Config
