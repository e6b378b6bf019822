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

std::vector<std::pair<std::string, JsonNode>> JsonReader::members(const JsonNode& node)
{
    std::vector<std::pair<std::string, JsonNode>> members;
    if (!node.value->is_object()) {
        error(node.path, "must be an object");
        return members;
    }
    for (const auto& [name, value] : node.value->items())
        members.emplace_back(name, JsonNode { &value, childPath(node.path, name) });
    return members;
}

std::vector<JsonNode> JsonReader::elements(const JsonNode& node)
{
    std::vector<JsonNode> elements;
    if (!node.value->is_array()) {
        error(node.path, "must be a list");
        return elements;
    }
    for (std::size_t index = 0; index < node.value->size(); ++index)
        elements.push_back({ &(*node.value)[index], node.path + "/" + std::to_string(index) });
    return elements;
}

std::optional<JsonNode> JsonReader::find(const JsonNode& node, const std::string& name)
{
    if (!node.value->is_object())
        return std::nullopt;
    const auto found = node.value->find(name);
    if (found == node.value->end())
        return std::nullopt;
    return JsonNode { &*found, childPath(node.path, name) };
}

std::optional<JsonNode> JsonReader::require(const JsonNode& node, const std::string& name)
{
    auto found = find(node, name);
    if (!found && node.value->is_object())
        error(node.path, "'" + name + "' is missing");
    return found;
}

void JsonReader::rejectUnknownMembers(const JsonNode& node, std::initializer_list<std::string_view> names)
{
    for (const auto& [name, member] : members(node)) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            error(member.path, "unknown member");
    }
}

std::optional<std::string> JsonReader::name(const JsonNode& node)
{
    auto read = text(node);
    if (!read || !isName(node.path, *read))
        return std::nullopt;
    return read;
}

bool JsonReader::isName(const std::string& path, std::string_view text)
{
    const bool isValid = isPlainName(text);
    if (!isValid)
        error(path, "'" + std::string(text) + "' is not a name of 1 to 63 letters, digits, '-', '_' and '.'");
    return isValid;
}

std::optional<std::string> JsonReader::text(const JsonNode& node)
{
    if (node.value->is_string())
        return node.value->get<std::string>();
    error(node.path, "must be a string");
    return std::nullopt;
}

std::optional<SocketAddress> JsonReader::address(const JsonNode& node)
{
    const auto read = text(node);
    if (!read)
        return std::nullopt;
    auto address = SocketAddress::parse(*read);
    if (!address) {
        error(node.path, address.error().message);
        return std::nullopt;
    }
    return *address;
}

std::optional<unsigned> JsonReader::count(const JsonNode& node)
{
    constexpr auto limit = std::numeric_limits<std::int32_t>::max();
    if (node.value->is_number_unsigned()) {
        const auto number = node.value->get<std::uint64_t>();
        if (number > 0 && number <= limit)
            return static_cast<unsigned>(number);
    }
    error(node.path, "must be a whole number from 1 to " + std::to_string(limit));
    return std::nullopt;
}

std::optional<Duration> JsonReader::age(const JsonNode& node)
{
    if (node.value->is_number_unsigned()) {
        const auto number = node.value->get<std::uint64_t>();
        if (number <= static_cast<std::uint64_t>(maxAge.count()))
            return std::chrono::milliseconds(number);
    }
    error(node.path, "must be an age in milliseconds from 0 to " + std::to_string(maxAge.count()));
    return std::nullopt;
}

} // namespace Auburnpost::Config
