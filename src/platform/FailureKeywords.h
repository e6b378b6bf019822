#pragma once

#include "session/Answer.h"

#include <string_view>

namespace Auburnpost::Platform {

/// @return the keyword of the code in the line protocol.
std::string_view keywordOf(Session::FailureCode);
/// @return the code of a keyword; FailureCode::Failed, which makes no promise about the effect, for an unknown one.
Session::FailureCode failureCodeOf(std::string_view keyword);

} // namespace Auburnpost::Platform
