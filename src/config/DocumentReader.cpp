#include "config/DocumentReader.h"

#include "config/DocumentChecks.h"
#include "config/SectionReaders.h"

namespace Auburnpost::Config {

ParsedDocument readSections(const Json& sections, ConfigVersion version)
{
    ParsedDocument parsed;
    parsed.document.version = version;
    for (const auto& definition : sectionDefinitions()) {
        const auto section = sections.find(std::string(definition.name));
        if (section == sections.end())
            continue;
        JsonReader reader(std::string(definition.name), parsed.problems);
        definition.read(reader, *section, parsed.document);
    }
    // A value that could not be read would make others look wrong that name it.
    if (!hasErrors(parsed.problems))
        checkDocument(parsed.document, parsed.problems);
    return parsed;
}

} // namespace Auburnpost::Config
