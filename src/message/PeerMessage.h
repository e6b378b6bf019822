#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/StrongId.h"
#include "base/Time.h"
#include "message/HomeReply.h"
#include "message/HomeRequest.h"

#include <string>
#include <variant>

namespace Auburnpost {

/// Identifies one attempt at a request on its entry host; each retry has a new number.
using AttemptNumber = StrongId<std::uint64_t, struct AttemptNumberTag>;

/// A request that an entry host forwards to a home of its database.
struct ForwardedRequest {
    HostName from;
    SocketAddress replyTo;
    AttemptNumber attempt;
    /// Time that remained until the attempt's deadline when the message was sent.
    Duration timeLeft {};
    HomeRequest homeRequest;
};

/// A home's reply to a ForwardedRequest; each request gets exactly one.
struct ForwardedReply {
    HostName from;
    AttemptNumber attempt;
    HomeReply reply;
};

/// Asks a host that has a newer configuration document for it.
struct DocumentRequest {
    HostName from;
    SocketAddress replyTo;
};

/// The configuration document that the sender uses.
struct DocumentResponse {
    HostName from;
    ConfigVersion version;
    std::string text;
};

/// A message between two watchers of a database group. Its content is encoded by engine/WatcherMessages.h.
struct WatcherMessage {
    HostName from;
    DatabaseName database;
    std::string content;
};

using PeerMessage = std::variant<ForwardedRequest, ForwardedReply, DocumentRequest, DocumentResponse, WatcherMessage>;

} // namespace Auburnpost
