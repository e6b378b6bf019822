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

/// Opens a connection to a target; the engine receives TargetConnected or TargetConnectionLost.
struct OpenConnection {
    ConnectionId connection;
    TargetName target;
    SocketAddress address;
    DatabaseName database;
};

/// Closes a connection; no further event is reported for it.
struct CloseConnection {
    ConnectionId connection;
};

/// Sends a message to the peer address of another host.
struct SendToPeer {
    SocketAddress address;
    std::string bytes;
};

/// Closes the connection to another host's peer address.
struct DisconnectPeer {
    SocketAddress address;
};

/// Sends one UDP datagram.
struct SendGossip {
    SocketAddress address;
    std::string bytes;
};

/// The answer to an operator's edit: JSON that describes the accepted edit, or a refusal.
struct AnswerOperator {
    RequestId id;
    std::variant<std::string, Refusal> body;
    /// The new document version, or after a conflict the version of the section; otherwise empty.
    std::optional<ConfigVersion> version;
};

/// Stops accepting callers' connections and closes each open one after its next answer.
struct DrainCallers { };

/// Ends the event loop. Nothing is in flight any more, or the wait for it has ended.
struct ExitProcess {
    int exitStatus { 0 };
};

/// The operations that the engine requires from the adapters.
using Action = std::variant<CallerAnswer, OpenConnection, CloseConnection, TargetCommand, SendToPeer, DisconnectPeer,
    SendGossip, PlatformCall, AnswerOperator, LogRecord, DrainCallers, ExitProcess>;
using Actions = std::vector<Action>;

} // namespace Auburnpost
