#include "config/SettingsParser.h"

#include "config/IniText.h"
#include "config/SettingsKeys.h"

#include <algorithm>
#include <map>

namespace Auburnpost::Config {

namespace {

    std::string fullName(std::string_view section, std::string_view key)
    {
        return std::string(section) + "." + std::string(key);
    }

    bool isKnownSection(std::string_view name)
    {
        const auto& keys = settingsKeys();
        return std::any_of(keys.begin(), keys.end(), [name](const SettingsKey& each) { return each.section == name; });
    }

    const SettingsKey* findKey(const IniEntry& entry)
    {
        for (const auto& each : settingsKeys()) {
            if (each.section == entry.section && each.key == entry.key)
                return &each;
        }
        return nullptr;
    }

    /// Interprets an INI text and collects its problems.
    class SettingsReader {
    public:
        explicit SettingsReader(std::string_view file)
            : m_file(file)
        {
        }

        void read(const IniText& text)
        {
            for (const auto& fault : text.faults)
                report(fault.line, "line", fault.message);
            for (const auto& section : text.sections) {
                if (!isKnownSection(section.name))
                    report(section.line, section.name, "unknown section");
            }
            for (const auto& entry : text.entries)
                readEntry(entry);
            addDefaults();
            if (m_problems.empty())
                checkRules();
        }

        tl::expected<Settings, std::vector<SettingsProblem>> finish()
        {
            if (m_problems.empty())
                return m_settings;
            std::stable_sort(m_problems.begin(), m_problems.end(),
                [](const SettingsProblem& left, const SettingsProblem& right) { return left.line < right.line; });
            return tl::unexpected(std::move(m_problems));
        }

    private:
        void report(int line, std::string key, std::string message)
        {
            m_problems.push_back({ m_file, line, std::move(key), std::move(message) });
        }

        void readEntry(const IniEntry& entry)
        {
            const auto name = fullName(entry.section, entry.key);
            const auto* const key = findKey(entry);
            if (!key) {
                if (entry.section.empty())
                    report(entry.line, entry.key, "key precedes the first [section]");
                else if (isKnownSection(entry.section))
                    report(entry.line, name, "unknown key");
                return;
            }
            const auto [first, isNew] = m_lines.try_emplace(name, entry.line);
            if (!isNew)
                return report(entry.line, name, "already set on line " + std::to_string(first->second));
            if (entry.value.empty())
                return report(entry.line, name, "missing value");
            if (!key->isList && entry.value.find('\n') != std::string::npos)
                return report(entry.line, name, "value must be a single line, but an indented line continues it");
            if (const auto check = key->read(entry.value, m_settings); !check)
                report(entry.line, name, check.error());
        }

        void addDefaults()
        {
            for (const auto& key : settingsKeys()) {
                const auto name = fullName(key.section, key.key);
                if (m_lines.contains(name))
                    continue;
                if (!key.defaultText)
                    report(0, name, "missing");
                else if (!key.defaultText->empty())
                    key.read(*key.defaultText, m_settings);
            }
        }

        void checkRules()
        {
            for (const auto& rule : settingsRules()) {
                const auto name = fullName(rule.section, rule.key);
                const auto line = m_lines.find(name);
                if (const auto check = rule.check(m_settings); !check)
                    report(line == m_lines.end() ? 0 : line->second, name, check.error());
            }
        }

        std::string m_file;
        Settings m_settings;
        std::vector<SettingsProblem> m_problems;
        /// Line of each key that the text sets.
        std::map<std::string, int> m_lines;
    };

} // namespace

tl::expected<Settings, std::vector<SettingsProblem>> parseSettings(std::string_view file, std::string_view text)
{
    SettingsReader reader(file);
    reader.read(IniText::parse(text));
    return reader.finish();
}

} // namespace Auburnpost::Config
