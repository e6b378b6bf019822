#pragma once

#include "base/StrongId.h"

namespace Auburnpost::Group {

/// Matches an answer to its command; assigned by the watch and never reused by it.
using CorrelationId = StrongId<std::uint64_t, struct CorrelationIdTag>;
/// Identifies one wait for durability; assigned by the owner of the watch.
using WaitId = StrongId<std::uint64_t, struct WaitIdTag>;
/// Identifies one read confirmation; assigned by the owner of the watch.
using ConfirmationId = StrongId<std::uint64_t, struct ConfirmationIdTag>;
/// Identifies one switchover among those of one watcher.
using SwitchoverId = StrongId<std::uint64_t, struct SwitchoverIdTag>;

} // namespace Auburnpost::Group
