#pragma once

#include "base/StrongId.h"

namespace Auburnpost {

/// Identifies one operation of a home; unique during one run of the host.
using OperationId = StrongId<std::uint64_t, struct OperationIdTag>;

} // namespace Auburnpost
