#pragma once

#include "base/StrongId.h"

namespace Auburnpost {

/// Names one operation of a home, for as long as the host runs.
using OperationId = StrongId<std::uint64_t, struct OperationIdTag>;

} // namespace Auburnpost
