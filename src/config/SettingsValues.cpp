#include "config/SettingsValues.h"

#include "config/Hexadecimal.h"
#include "config/PlainName.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>

namespace Auburnpost::Config {

namespace {

    struct Unit {
        std::string_view name;
        std::uint64_t factor;
    };

    constexpr std::array durationUnits { Unit { "us", 1 }, Unit { "ms", 1'000 }, Unit { "s", 1'000'000 },
        Unit { "min", 60'000'000 }, Unit { "h", 3'600'000'000 } };
    constexpr std::array sizeUnits { Unit { "B", 1 }, Unit { "KB", 1024 }, Unit { "MB", 1'048'576 } };

    struct LevelName {
        std::string_view name;
        LogLevel level;
    };

    constexpr std::array levelNames { LevelName { "debug", LogLevel::Debug }, LevelName { "info", LogLevel::Info },
        LevelName { "warn", LogLevel::Warn }, LevelName { "error", LogLevel::Error } };

    ValueCheck reject(std::string_view text, std::string_view expectedForm)
    {
        return tl::unexpected("'" + std::string(text) + "' is not " + std::string(expectedForm));
    }

    /// Parses the number at the start of @p text.
    /// @param rest receives the text after the number.
    std::optional<std::uint64_t> leadingNumber(std::string_view text, std::string_view& rest)
    {
        std::uint64_t number = 0;
        const auto* const end = text.data() + text.size();
        const auto [stop, problem] = std::from_chars(text.data(), end, number);
        if (problem != std::errc {})
            return std::nullopt;
        rest = text.substr(static_cast<std::size_t>(stop - text.data()));
        return number;
    }

    /// @return the number multiplied by the factor of its unit; nothing if the text is malformed, or if the result is
    /// zero or exceeds a signed 64-bit number.
    template <std::size_t count>
    std::optional<std::uint64_t> parseQuantity(std::string_view text, const std::array<Unit, count>& units)
    {
        std::string_view rest;
        const auto number = leadingNumber(text, rest);
        const auto* const unit
            = std::find_if(units.begin(), units.end(), [rest](const Unit& each) { return each.name == rest; });
        if (!number || *number == 0 || unit == units.end())
            return std::nullopt;
        const auto limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (*number > limit / unit->factor)
            return std::nullopt;
        return *number * unit->factor;
    }

    template <typename Name> ValueCheck parseName(std::string_view text, Name& name)
    {
        if (!isPlainName(text))
            return reject(text, "a name of 1 to 63 letters, digits, '-', '_' and '.'");
        name = Name(std::string(text));
        return {};
    }

} // namespace

ValueCheck parseValue(std::string_view text, Duration& duration)
{
    const auto microseconds = parseQuantity(text, durationUnits);
    if (!microseconds)
        return reject(text, "a duration above zero with its unit: us, ms, s, min or h");
    duration = Duration(static_cast<Duration::rep>(*microseconds));
    return {};
}

ValueCheck parseValue(std::string_view text, ByteCount& size)
{
    const auto bytes = parseQuantity(text, sizeUnits);
    if (!bytes)
        return reject(text, "a size above zero with its unit: B, KB or MB");
    size = ByteCount(*bytes);
    return {};
}

ValueCheck parseValue(std::string_view text, std::size_t& count)
{
    std::string_view rest;
    const auto number = leadingNumber(text, rest);
    if (!number || *number == 0 || !rest.empty())
        return reject(text, "a whole number above zero");
    count = *number;
    return {};
}

ValueCheck parseValue(std::string_view text, SocketAddress& address)
{
    const auto parsed = SocketAddress::parse(text);
    if (!parsed)
        return tl::unexpected(parsed.error().message);
    address = *parsed;
    return {};
}

ValueCheck parseValue(std::string_view text, std::vector<SocketAddress>& addresses)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), ',', ' ');
    std::istringstream words(spaced);
    for (std::string word; words >> word;) {
        SocketAddress address;
        if (const auto check = parseValue(word, address); !check)
            return check;
        addresses.push_back(address);
    }
    return {};
}

ValueCheck parseValue(std::string_view text, HostName& name)
{
    return parseName(text, name);
}

ValueCheck parseValue(std::string_view text, DataCentreName& name)
{
    return parseName(text, name);
}

ValueCheck parseValue(std::string_view text, LogLevel& level)
{
    const auto* const found = std::find_if(
        levelNames.begin(), levelNames.end(), [text](const LevelName& each) { return each.name == text; });
    if (found == levelNames.end())
        return reject(text, "debug, info, warn or error");
    level = found->level;
    return {};
}

ValueCheck parseSigningKey(std::string_view text, std::string& bytes)
{
    auto parsed = parseHexadecimal(text);
    if (!parsed)
        return tl::unexpected<std::string>("is not an even number of hexadecimal digits");
    if (parsed->size() < minSigningKeyBytes)
        return tl::unexpected("is shorter than " + std::to_string(minSigningKeyBytes) + " bytes");
    bytes = std::move(*parsed);
    return {};
}

} // namespace Auburnpost::Config
