#include "config/IniText.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <ini.h>
#include <sstream>

namespace Auburnpost::Config {

namespace {

    /// Maximum line length that fits inih's buffer, which also holds the newline and the terminator.
    constexpr std::size_t maxLineLength = INI_MAX_LINE - 2;

    /// State of one inih pass over the lines. inih reports only the first faulty line of a pass.
    struct IniRun {
        const std::vector<std::string>& lines;
        std::size_t next { 0 };
        std::vector<IniEntry> entries {};
    };

    bool isIndented(const std::string& line)
    {
        return !line.empty() && std::isspace(static_cast<unsigned char>(line.front()));
    }

    char* readLine(char* buffer, int capacity, void* stream)
    {
        auto& run = *static_cast<IniRun*>(stream);
        if (run.next == run.lines.size())
            return nullptr;
        const auto line = run.lines[run.next++] + "\n";
        const auto length = std::min(line.size(), static_cast<std::size_t>(capacity) - 1);
        std::memcpy(buffer, line.data(), length);
        buffer[length] = '\0';
        return buffer;
    }

    int addEntry(void* user, const char* section, const char* key, const char* value)
    {
        auto& run = *static_cast<IniRun*>(user);
        auto& entries = run.entries;
        const bool isContinuation = !entries.empty() && isIndented(run.lines[run.next - 1])
            && entries.back().section == section && entries.back().key == key;
        if (isContinuation)
            entries.back().value += "\n" + std::string(value);
        else
            entries.push_back({ section, key, value, static_cast<int>(run.next) });
        return 1;
    }

    std::vector<std::string> splitLines(std::string_view text)
    {
        std::vector<std::string> lines;
        std::istringstream stream { std::string(text) };
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    void removeLongLines(std::vector<std::string>& lines, std::vector<IniFault>& faults)
    {
        for (std::size_t index = 0; index < lines.size(); ++index) {
            if (lines[index].size() <= maxLineLength)
                continue;
            faults.push_back(
                { static_cast<int>(index + 1), "longer than " + std::to_string(maxLineLength) + " characters" });
            lines[index].clear();
        }
    }

    std::vector<IniSection> findSections(const std::vector<std::string>& lines)
    {
        std::vector<IniSection> sections;
        for (std::size_t index = 0; index < lines.size(); ++index) {
            const auto end = lines[index].find(']');
            if (lines[index].starts_with('[') && end != std::string::npos)
                sections.push_back({ lines[index].substr(1, end - 1), static_cast<int>(index + 1) });
        }
        return sections;
    }

} // namespace

IniText IniText::parse(std::string_view text)
{
    IniText result;
    auto lines = splitLines(text);
    removeLongLines(lines, result.faults);
    result.sections = findSections(lines);
    for (;;) {
        IniRun run { lines };
        const int faultyLine = ini_parse_stream(readLine, &run, addEntry, &run);
        if (faultyLine <= 0) {
            result.entries = std::move(run.entries);
            break;
        }
        result.faults.push_back({ faultyLine, "is neither [section], key = value nor a comment" });
        lines[static_cast<std::size_t>(faultyLine) - 1].clear();
    }
    return result;
}

} // namespace Auburnpost::Config
