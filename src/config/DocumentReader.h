#pragma once

#include "config/DocumentParser.h"
#include "config/JsonReader.h"

namespace Auburnpost::Config {

/// Reads and checks the sections of a document. A missing section is treated as empty.
/// @param sections JSON object with the sections by name.
/// @return the document and its problems; the problems have no line numbers yet.
ParsedDocument readSections(const Json& sections, ConfigVersion);

} // namespace Auburnpost::Config
