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

/// A caller disconnected before it was answered.
struct CallerDisconnected {
    RequestId id;
};

/// A connection to a target was opened and is idle.
struct TargetConnected {
    ConnectionId connection;
    TargetStatus targetStatus;
};

/// A message of another host arrived.
struct PeerReceived {
    std::string bytes;
};

/// A message to another host could not be sent.
struct PeerSendFailed {
    SocketAddress address;
    std::string bytes;
};

/// A gossip datagram arrived.
struct GossipReceived {
    SocketAddress from;
    std::string bytes;
};

/// An operator's request to replace one section of the document.
struct SectionPut {
    RequestId id;
    std::string section;
    std::string text;
    /// The version on which the operator's edit is based; empty when the operator did not state it.
    std::optional<ConfigVersion> base;
};

/// The periodic timer event.
struct Tick { };

/// The process was asked to shut down; a second request forces it.
struct ShutdownRequested { };

/// The events that the adapters report to the engine.
using Event = std::variant<CallerRequest, CallerDisconnected, TargetConnected, TargetAnswer, TargetConnectionLost,
    PeerReceived, PeerSendFailed, GossipReceived, PlatformAnswer, SectionPut, Tick, ShutdownRequested>;

} // namespace Auburnpost
