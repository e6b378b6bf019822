#pragma once

#include "config/Settings.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Auburnpost::Config {

/// Success, or one sentence that says what is wrong with a value.
using ValueCheck = tl::expected<void, std::string>;

/// Reads a duration with its unit: "us", "ms", "s", "min" or "h"; above zero.
ValueCheck parseValue(std::string_view text, Duration&);
/// Reads a size with its unit: "B", "KB" (1024 bytes) or "MB"; above zero.
ValueCheck parseValue(std::string_view text, ByteCount&);
/// Reads a whole number above zero.
ValueCheck parseValue(std::string_view text, std::size_t&);
/// Reads IP:PORT.
ValueCheck parseValue(std::string_view text, SocketAddress&);
/// Reads IP:PORT entries, parted by commas, spaces or line ends.
ValueCheck parseValue(std::string_view text, std::vector<SocketAddress>&);
/// Reads a name of letters, digits, '-', '_' and '.'.
ValueCheck parseValue(std::string_view text, HostName&);
ValueCheck parseValue(std::string_view text, DataCentreName&);
/// Reads "debug", "info", "warn" or "error".
ValueCheck parseValue(std::string_view text, LogLevel&);

/// Reads a key of at least minSigningKeyBytes in hexadecimal digits into raw bytes.
ValueCheck parseSigningKey(std::string_view text, std::string& bytes);

} // namespace Auburnpost::Config
