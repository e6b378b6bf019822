#pragma once

#include "base/StrongId.h"

namespace Auburnpost {

using HostName = StrongId<std::string, struct HostNameTag>;
using DataCentreName = StrongId<std::string, struct DataCentreNameTag>;
using OrganisationName = StrongId<std::string, struct OrganisationNameTag>;
using TargetName = StrongId<std::string, struct TargetNameTag>;
using DatabaseName = StrongId<std::string, struct DatabaseNameTag>;

/// Raised by a host each time it starts or refutes a suspicion; the higher one is the newer.
using Incarnation = StrongId<std::uint64_t, struct IncarnationTag>;
/// Version of the operators' document; the higher one is the newer.
using ConfigVersion = StrongId<std::uint64_t, struct ConfigVersionTag>;
/// Names one caller's request on the host it entered; never reused by a running host.
using RequestId = StrongId<std::uint64_t, struct RequestIdTag>;
/// Names one connection to a target, for as long as the host runs.
using ConnectionId = StrongId<std::uint64_t, struct ConnectionIdTag>;
/// Names one command in flight on a connection to a target.
using CommandId = StrongId<std::uint64_t, struct CommandIdTag>;
/// Names one call to the platform.
using PlatformCallId = StrongId<std::uint64_t, struct PlatformCallIdTag>;
/// The key under which a write records its outcome on the target: the caller's or one made by the host.
using OutcomeKey = StrongId<std::string, struct OutcomeKeyTag>;

} // namespace Auburnpost
