#pragma once

#include "base/Error.h"
#include "message/TargetCommand.h"

#include <string>
#include <string_view>

namespace Auburnpost {

/// The SQLSTATE codes that the engine distinguishes.
namespace SqlState {
    inline constexpr std::string_view uniqueViolation = "23505";
    inline constexpr std::string_view readOnly = "25006";
    inline constexpr std::string_view serializationFailure = "40001";
    inline constexpr std::string_view lockNotAvailable = "55P03";
} // namespace SqlState

/// @return the target's error as the error of a statement; @p step names what was being executed.
Error statementError(const TargetFault&, std::string step, std::string peer);

} // namespace Auburnpost
