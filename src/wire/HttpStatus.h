#pragma once

#include "base/ErrorCode.h"

namespace Auburnpost::Wire {

/// @return the HTTP status of the reply to a failed request, as listed in docs/WIRE.md.
int httpStatus(ErrorCode);

} // namespace Auburnpost::Wire
