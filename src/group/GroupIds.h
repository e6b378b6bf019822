#pragma once

#include "base/StrongId.h"

namespace Auburnpost::Group {

/// Joins a command to a target with its answer; chosen by the watch, never reused by it.
using CorrelationId = StrongId<std::uint64_t, struct CorrelationIdTag>;
/// Names one wait for durability; chosen by the caller.
using WaitId = StrongId<std::uint64_t, struct WaitIdTag>;
/// Names one read confirmation; chosen by the caller.
using ConfirmId = StrongId<std::uint64_t, struct ConfirmIdTag>;
/// Names one planned switch among those of one watcher.
using SwitchId = StrongId<std::uint64_t, struct SwitchIdTag>;

} // namespace Auburnpost::Group
