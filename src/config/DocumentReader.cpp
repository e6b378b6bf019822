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
    // The checks are skipped after a read error, because they would report references to unread values as errors.
    if (!hasErrors(parsed.problems))
        checkDocument(parsed.document, parsed.problems);
    return parsed;
}

} // namespace Auburnpost::Config
