#include "DocumentationPage.h"

#include "app/Commands.h"
#include "base/ErrorCode.h"
#include "base/LogEvent.h"
#include "config/DocumentParser.h"
#include "config/SettingsKeys.h"
#include "wire/HttpStatus.h"

#include <catch2/catch.hpp>
#include <map>

using namespace Auburnpost;

TEST_CASE("SETTINGS.md lists each key with the unit, default and meaning of the code", "[app][docs]")
{
    const DocumentationPage page("SETTINGS.md");
    std::map<std::string, std::vector<std::vector<std::string>>> expected;
    for (const auto& key : Config::settingsKeys()) {
        const auto defaultText = !key.defaultText ? "required" : key.defaultText->empty() ? "none" : *key.defaultText;
        expected[std::string(key.section)].push_back(
            { std::string(key.key), std::string(key.unit), std::string(defaultText), std::string(key.meaning) });
    }
    for (const auto& [section, rows] : expected) {
        INFO(section);
        CHECK(page.rowsBelow("## [" + section + "]") == rows);
    }
}

TEST_CASE("EVENTS.md lists each log event with the number, level and text of the code", "[app][docs]")
{
    std::vector<std::vector<std::string>> expected;
    for (const auto event : allLogEvents())
        expected.push_back({ numberOf(event), std::string(toString(levelOf(event))), std::string(describe(event)) });
    std::vector<std::vector<std::string>> found;
    for (const auto& row : DocumentationPage("EVENTS.md").rows("E")) {
        if (row.front() == "Event")
            continue;
        REQUIRE(row.size() == 5);
        INFO(row.front());
        CHECK_FALSE(row[4].empty());
        found.emplace_back(row.begin(), row.begin() + 3);
    }
    CHECK(found == expected);
}

TEST_CASE("CALLERS.md lists each error code with its HTTP status", "[app][docs]")
{
    std::vector<std::vector<std::string>> expected;
    for (int number = 0; number <= static_cast<int>(ErrorCode::Internal); ++number) {
        const auto code = static_cast<ErrorCode>(number);
        expected.push_back({ std::string(toString(code)), std::to_string(Wire::httpStatus(code)) });
    }
    std::vector<std::vector<std::string>> found;
    for (const auto& row : DocumentationPage("CALLERS.md").rowsBelow("## Error codes")) {
        REQUIRE(row.size() == 4);
        found.push_back({ row[0], row[1] });
    }
    CHECK(found == expected);
}

TEST_CASE("DOCUMENT.md names each section of the document, and OPERATING.md each command", "[app][docs]")
{
    const DocumentationPage document("DOCUMENT.md");
    for (const auto section : Config::sectionNames())
        CHECK(document.contains("## " + std::string(section)));
    const DocumentationPage operating("OPERATING.md");
    for (const auto& command : commands())
        CHECK(operating.contains("auburnpost " + std::string(command.name)));
}
