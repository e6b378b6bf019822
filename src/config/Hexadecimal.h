#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Config {

/// @return the bytes encoded by hexadecimal digits of either case; nothing if @p digits are malformed.
std::optional<std::string> parseHexadecimal(std::string_view digits);
/// @return two lower-case hexadecimal digits per byte.
std::string formatHexadecimal(std::string_view bytes);

} // namespace Auburnpost::Config
