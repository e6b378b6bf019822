#pragma once

#include "base/ErrorCode.h"

namespace Auburnpost::Wire {

/// @return the status with which a failure is answered, as docs/WIRE.md lists it.
int httpStatus(ErrorCode);

} // namespace Auburnpost::Wire
