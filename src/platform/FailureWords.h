#pragma once

#include "session/Answer.h"

#include <string_view>

namespace Auburnpost::Platform {

/// @return the word that stands for the code on the wire.
std::string_view wordOf(Session::FailureCode);
/// @return the code; FailureCode::Failed, which promises nothing, for a word that is not known.
Session::FailureCode failureCodeOf(std::string_view word);

} // namespace Auburnpost::Platform
