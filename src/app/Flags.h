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

/// Sets the flags that the arguments name, as "--name=value" or "--name value"; '-' and '_' in names are the same.
/// Abseil's own parser is not used since it ends the process with status 1 at a wrong flag.
/// @param accepted names of the flags that the command has, with '_'.
/// @return the other arguments, or ErrorCode::BadRequest for a flag that is unknown or malformed.
Expected<std::vector<std::string>> parseFlags(
    const std::vector<std::string>& arguments, const std::vector<std::string_view>& accepted);

/// @return the flag as it is written, such as "--if-match".
std::string flagText(std::string_view name);
/// @return whether the flag has an empty value.
bool isFlagEmpty(std::string_view name);
/// @return "--name  text (default: value)".
std::string flagHelp(std::string_view name);

} // namespace Auburnpost
