#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Config {

/// @return the bytes that hexadecimal digits of either case stand for, or nothing for other text.
std::optional<std::string> parseHexadecimal(std::string_view digits);
/// @return two digits in lower case for each byte.
std::string formatHexadecimal(std::string_view bytes);

} // namespace Auburnpost::Config
