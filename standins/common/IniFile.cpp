#include "common/IniFile.h"

#include <charconv>
#include <ini.h>

namespace Auburnpost::Standin {

namespace {

    using Values = std::map<std::pair<std::string, std::string>, std::string>;

    // The parser reports a continuation line as another value of the same key.
    int addValue(void* user, const char* section, const char* name, const char* value)
    {
        auto& text = (*static_cast<Values*>(user))[{ section, name }];
        text += text.empty() ? value : "\n" + std::string(value);
        return 1;
    }

    template <typename Number> bool parseNumber(const std::string& text, Number& number)
    {
        const auto* const end = text.data() + text.size();
        const auto [rest, problem] = std::from_chars(text.data(), end, number);
        return problem == std::errc {} && rest == end;
    }

} // namespace

Expected<IniFile> IniFile::read(const std::string& path)
{
    IniFile file;
    file.m_path = path;
    const int line = ini_parse(path.c_str(), addValue, &file.m_values);
    if (line < 0)
        return fail(ErrorCode::BadSettings, "read settings", "", path + " can't be read");
    if (line > 0)
        return fail(ErrorCode::BadSettings, "read settings", "", path + ":" + std::to_string(line) + " is no INI line");
    return file;
}

std::string IniFile::text(const std::string& section, const std::string& key)
{
    if (!m_values.contains({ section, key }))
        recordProblem(section, key, "is missing");
    return text(section, key, "");
}

std::string IniFile::text(const std::string& section, const std::string& key, const std::string& fallback)
{
    m_requestedKeys.insert({ section, key });
    const auto found = m_values.find({ section, key });
    return found == m_values.end() ? fallback : found->second;
}

std::int64_t IniFile::number(const std::string& section, const std::string& key, std::int64_t fallback)
{
    std::int64_t value = 0;
    if (!parseNumber(text(section, key, std::to_string(fallback)), value) || value < 0)
        recordProblem(section, key, "is not a whole number");
    return value;
}

Duration IniFile::milliseconds(const std::string& section, const std::string& key, double fallback)
{
    double value = 0;
    if (!parseNumber(text(section, key, std::to_string(fallback)), value) || value < 0)
        recordProblem(section, key, "is not a number of milliseconds");
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

SocketAddress IniFile::address(const std::string& section, const std::string& key)
{
    const auto parsed = SocketAddress::parse(text(section, key));
    if (!parsed)
        recordProblem(section, key, "is not IP:PORT");
    return parsed.value_or(SocketAddress {});
}

std::vector<std::string> IniFile::keys(const std::string& section)
{
    std::vector<std::string> names;
    for (const auto& [key, value] : m_values) {
        if (key.first == section)
            names.push_back(key.second);
    }
    return names;
}

std::vector<std::string> IniFile::sections(const std::string& prefix) const
{
    std::set<std::string> names;
    for (const auto& [key, value] : m_values) {
        if (key.first.starts_with(prefix))
            names.insert(key.first.substr(prefix.size()));
    }
    return { names.begin(), names.end() };
}

Expected<void> IniFile::validate() const
{
    if (!m_problem.empty())
        return fail(ErrorCode::BadSettings, "read settings", "", m_problem);
    for (const auto& [key, value] : m_values) {
        if (!m_requestedKeys.contains(key))
            return fail(ErrorCode::BadSettings, "read settings", "",
                m_path + ": [" + key.first + "] " + key.second + " is unknown");
    }
    return {};
}

void IniFile::recordProblem(const std::string& section, const std::string& key, const std::string& what)
{
    if (m_problem.empty())
        m_problem = m_path + ": [" + section + "] " + key + " " + what;
}

} // namespace Auburnpost::Standin
