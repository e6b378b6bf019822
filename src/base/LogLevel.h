#pragma once

#include <cstdint>
#include <string_view>

namespace Auburnpost {

/// Severity of a log event, in ascending order.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

/// @return "debug", "info", "warn" or "error".
constexpr std::string_view toString(LogLevel level)
{
    constexpr std::string_view names[] { "debug", "info", "warn", "error" };
    return names[static_cast<std::size_t>(level)];
}

} // namespace Auburnpost
