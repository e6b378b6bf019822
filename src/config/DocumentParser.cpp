#include "config/DocumentParser.h"

#include "config/DocumentReader.h"
#include "config/DocumentText.h"
#include "config/SectionReaders.h"

#include <algorithm>

namespace Auburnpost::Config {

ParsedDocument parseDocument(std::string_view text, ConfigVersion version)
{
    const DocumentText source(text);
    if (hasErrors(source.problems()))
        return { {}, source.problems() };
    auto parsed = readSections(source.sections(), version);
    source.locate(parsed.problems);
    return parsed;
}

const std::vector<std::string_view>& sectionNames()
{
    static const auto names = [] {
        std::vector<std::string_view> list;
        for (const auto& definition : sectionDefinitions())
            list.push_back(definition.name);
        return list;
    }();
    return names;
}

bool isSection(std::string_view name)
{
    const auto& names = sectionNames();
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace Auburnpost::Config
