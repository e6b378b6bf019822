#pragma once

#include "config/Settings.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Auburnpost::Config {

/// Success, or a message that describes why a value is invalid.
using ValueCheck = tl::expected<void, std::string>;

/// Parses a duration above zero with its unit: "us", "ms", "s", "min" or "h".
ValueCheck parseValue(std::string_view text, Duration&);
/// Parses a size above zero with its unit: "B", "KB" (1024 bytes) or "MB".
ValueCheck parseValue(std::string_view text, ByteCount&);
/// Parses a whole number above zero.
ValueCheck parseValue(std::string_view text, std::size_t&);
/// Parses IP:PORT.
ValueCheck parseValue(std::string_view text, SocketAddress&);
/// Parses a list of IP:PORT, separated by commas, spaces or line ends.
ValueCheck parseValue(std::string_view text, std::vector<SocketAddress>&);
/// Parses a name of 1 to 63 letters, digits, '-', '_' and '.'.
ValueCheck parseValue(std::string_view text, HostName&);
ValueCheck parseValue(std::string_view text, DataCentreName&);
/// Parses "debug", "info", "warn" or "error".
ValueCheck parseValue(std::string_view text, LogLevel&);

/// Parses a key of at least minSigningKeyBytes in hexadecimal digits.
/// @param bytes receives the raw bytes.
ValueCheck parseSigningKey(std::string_view text, std::string& bytes);

} // namespace Auburnpost::Config
