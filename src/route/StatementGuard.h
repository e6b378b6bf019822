#pragma once

#include "base/Expected.h"

#include <string_view>

namespace Auburnpost::Route {

/// Refuses SQL that would break the proxy's use of a shared connection: statements that begin or end a transaction or
/// change the connection's settings, and statements with names that are reserved for auburnpost.
/// Of the keywords only the first counts; the reserved names count anywhere in the text, string literals included.
/// @return nothing, or ErrorCode::BadRequest.
Expected<void> checkStatement(std::string_view sql);

} // namespace Auburnpost::Route
