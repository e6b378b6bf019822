#pragma once

#include "base/Expected.h"

#include <string_view>

namespace Auburnpost::Route {

/// Refuses SQL that would break what rests on a connection: statements that begin or end a transaction or change the
/// connection's settings, and names that auburnpost keeps for itself.
/// @return nothing, or ErrorCode::BadRequest.
Expected<void> checkStatement(std::string_view sql);

} // namespace Auburnpost::Route
