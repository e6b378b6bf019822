#pragma once

#include <string_view>

namespace Auburnpost::Config {

/// @return whether the text consists of 1 to 63 letters, digits, '-', '_' and '.'.
bool isPlainName(std::string_view text);

} // namespace Auburnpost::Config
