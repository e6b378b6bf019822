#pragma once

#include "base/Expected.h"

#include <absl/flags/declare.h>
#include <absl/time/time.h>
#include <string>
#include <string_view>
#include <vector>

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::string, operators);
ABSL_DECLARE_FLAG(std::uint32_t, metrics_port);
ABSL_DECLARE_FLAG(std::string, if_match);
ABSL_DECLARE_FLAG(absl::Duration, timeout);

namespace Auburnpost {

/// Parses and sets flags given as "--name=value" or "--name value"; '-' and '_' in names are equivalent.
/// Abseil's own parser is not used because it exits the process with status 1 on an invalid flag.
/// @param accepted names of the flags that the command accepts, spelled with '_'.
/// @return the arguments that are not flags, or ErrorCode::BadRequest for a flag that is unknown or malformed.
Expected<std::vector<std::string>> parseFlags(
    const std::vector<std::string>& arguments, const std::vector<std::string_view>& accepted);

/// @return the flag as the user types it, such as "--if-match".
std::string formatFlag(std::string_view name);
/// @return whether the current value of the flag is empty.
bool isFlagEmpty(std::string_view name);
/// @return "--name  text (default: value)".
std::string flagHelp(std::string_view name);

} // namespace Auburnpost
