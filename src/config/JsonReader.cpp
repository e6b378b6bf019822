#include "config/JsonReader.h"

#include "config/PlainName.h"

#include <algorithm>
#include <limits>

namespace Auburnpost::Config {

namespace {

    constexpr std::chrono::milliseconds maxAge = std::chrono::hours(24 * 365);

    std::string childPath(const std::string& path, const std::string& name)
    {
        return path + (Json::json_pointer() / name).to_string();
    }

} // namespace

JsonReader::JsonReader(std::string section, std::vector<DocumentProblem>& problems)
    : m_section(std::move(section))
    , m_problems(problems)
{
}

void JsonReader::error(const std::string& path, std::string message)
{
    report(ProblemSeverity::Error, path, std::move(message));
}

void JsonReader::warn(const std::string& path, std::string message)
{
    report(ProblemSeverity::Warning, path, std::move(message));
}

void JsonReader::report(ProblemSeverity severity, const std::string& path, std::string message)
{
    m_problems.push_back({ severity, m_section, path, 0, std::move(message) });
}

std::vector<std::pair<std::string, JsonPlace>> JsonReader::members(const JsonPlace& place)
{
    std::vector<std::pair<std::string, JsonPlace>> members;
    if (!place.value->is_object()) {
        error(place.path, "must be an object");
        return members;
    }
    for (const auto& [name, value] : place.value->items())
        members.emplace_back(name, JsonPlace { &value, childPath(place.path, name) });
    return members;
}

std::vector<JsonPlace> JsonReader::elements(const JsonPlace& place)
{
    std::vector<JsonPlace> elements;
    if (!place.value->is_array()) {
        error(place.path, "must be a list");
        return elements;
    }
    for (std::size_t index = 0; index < place.value->size(); ++index)
        elements.push_back({ &(*place.value)[index], place.path + "/" + std::to_string(index) });
    return elements;
}

std::optional<JsonPlace> JsonReader::find(const JsonPlace& place, const std::string& name)
{
    if (!place.value->is_object())
        return std::nullopt;
    const auto found = place.value->find(name);
    if (found == place.value->end())
        return std::nullopt;
    return JsonPlace { &*found, childPath(place.path, name) };
}

std::optional<JsonPlace> JsonReader::require(const JsonPlace& place, const std::string& name)
{
    auto found = find(place, name);
    if (!found && place.value->is_object())
        error(place.path, "'" + name + "' is missing");
    return found;
}

void JsonReader::rejectOthers(const JsonPlace& place, std::initializer_list<std::string_view> names)
{
    for (const auto& [name, member] : members(place)) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            error(member.path, "unknown member");
    }
}

std::optional<std::string> JsonReader::name(const JsonPlace& place)
{
    auto read = text(place);
    if (!read || !isName(place.path, *read))
        return std::nullopt;
    return read;
}

bool JsonReader::isName(const std::string& path, std::string_view text)
{
    const bool fits = isPlainName(text);
    if (!fits)
        error(path, "'" + std::string(text) + "' is not a name of 1 to 63 letters, digits, '-', '_' and '.'");
    return fits;
}

std::optional<std::string> JsonReader::text(const JsonPlace& place)
{
    if (place.value->is_string())
        return place.value->get<std::string>();
    error(place.path, "must be a string");
    return std::nullopt;
}

std::optional<SocketAddress> JsonReader::address(const JsonPlace& place)
{
    const auto read = text(place);
    if (!read)
        return std::nullopt;
    auto address = SocketAddress::parse(*read);
    if (!address) {
        error(place.path, address.error().message);
        return std::nullopt;
    }
    return *address;
}

std::optional<unsigned> JsonReader::count(const JsonPlace& place)
{
    constexpr auto limit = std::numeric_limits<std::int32_t>::max();
    if (place.value->is_number_unsigned()) {
        const auto number = place.value->get<std::uint64_t>();
        if (number > 0 && number <= limit)
            return static_cast<unsigned>(number);
    }
    error(place.path, "must be a whole number from 1 to " + std::to_string(limit));
    return std::nullopt;
}

std::optional<Duration> JsonReader::age(const JsonPlace& place)
{
    if (place.value->is_number_unsigned()) {
        const auto number = place.value->get<std::uint64_t>();
        if (number <= static_cast<std::uint64_t>(maxAge.count()))
            return std::chrono::milliseconds(number);
    }
    error(place.path, "must be an age in milliseconds from 0 to " + std::to_string(maxAge.count()));
    return std::nullopt;
}

} // namespace Auburnpost::Config
