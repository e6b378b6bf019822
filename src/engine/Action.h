#pragma once

#include "base/Ids.h"
#include "base/LogRecord.h"
#include "base/SocketAddress.h"
#include "message/CallerAnswer.h"
#include "message/PlatformCall.h"
#include "message/TargetCommand.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Auburnpost {

/// Open a connection to a target; the answer is TargetOpened or TargetConnectionLost.
struct OpenConnection {
    ConnectionId connection;
    TargetName target;
    SocketAddress address;
    DatabaseName database;
};

/// Close a connection; nothing more is heard of it.
struct CloseConnection {
    ConnectionId connection;
};

/// Send a message to the nng address of another host.
struct SendToPeer {
    SocketAddress address;
    std::string bytes;
};

/// Give up the link to another host's nng address.
struct DropPeer {
    SocketAddress address;
};

/// Send one UDP datagram.
struct SendGossip {
    SocketAddress address;
    std::string bytes;
};

/// The answer to an operator's edit: JSON on what was accepted, or why it was not.
struct AnswerOperator {
    RequestId id;
    std::variant<std::string, Refusal> body;
    /// Empty when there is none to tell of.
    std::optional<ConfigVersion> version;
};

/// Accept no more connections of callers, and close each one after its next answer.
struct DrainCallers { };

/// Leave the loop; nothing is in flight any more, or the wait for it is over.
struct StopNow {
    int exitStatus { 0 };
};

/// What the engine asks of the adapters.
using Action = std::variant<CallerAnswer, OpenConnection, CloseConnection, TargetCommand, SendToPeer, DropPeer,
    SendGossip, PlatformCall, AnswerOperator, LogRecord, DrainCallers, StopNow>;
using Actions = std::vector<Action>;

} // namespace Auburnpost
