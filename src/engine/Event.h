#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "message/CallerRequest.h"
#include "message/PlatformCall.h"
#include "message/TargetCommand.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost {

/// A caller went away before its answer.
struct CallerGone {
    RequestId id;
};

/// A connection to a target is open and idle.
struct TargetOpened {
    ConnectionId connection;
    TargetStanding standing;
};

/// Bytes of another host came over nng.
struct PeerReceived {
    std::string bytes;
};

/// The link could not take the message; it was not sent.
struct PeerNotSent {
    SocketAddress address;
    std::string bytes;
};

/// A datagram came.
struct GossipReceived {
    SocketAddress from;
    std::string bytes;
};

/// An operator replaces one section of the document.
struct SectionPut {
    RequestId id;
    std::string section;
    std::string text;
    /// The version that the operator has read; empty when it did not say.
    std::optional<ConfigVersion> base;
};

/// Time has passed.
struct Tick { };

/// The process was asked to stop; a second one forces it.
struct StopRequested { };

/// What the adapters tell the engine.
using Event = std::variant<CallerRequest, CallerGone, TargetOpened, TargetAnswer, TargetConnectionLost, PeerReceived,
    PeerNotSent, GossipReceived, PlatformAnswer, SectionPut, Tick, StopRequested>;

} // namespace Auburnpost
