#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "proxy/RowVersion.h"

namespace Auburnpost::Proxy {

/// Identifies a database group: one primary and its replicas.
using GroupName = StrongId<std::string, struct GroupNameTag>;
/// Identifies one session of a caller; unique for the lifetime of the process.
using SessionId = StrongId<std::uint64_t, struct SessionIdTag>;
/// Distinguishes successive starts of a target under the same name.
using TargetIncarnation = StrongId<std::uint64_t, struct TargetIncarnationTag>;

} // namespace Auburnpost::Proxy
