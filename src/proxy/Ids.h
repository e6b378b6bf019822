#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"

namespace Auburnpost::Proxy {

/// Names a database group: one primary and its replicas.
using GroupName = StrongId<std::string, struct GroupNameTag>;
/// Names one connection of a caller, for as long as the host runs.
using SessionId = StrongId<std::uint64_t, struct SessionIdTag>;
/// Tells one start of a target from the next under the same name.
using TargetIncarnation = StrongId<std::uint64_t, struct TargetIncarnationTag>;
/// Version of a row in the platform's store; one counter for all rows.
using RowVersion = StrongId<std::uint64_t, struct RowVersionTag>;

} // namespace Auburnpost::Proxy
