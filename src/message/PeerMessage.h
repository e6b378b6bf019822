#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/StrongId.h"
#include "base/Time.h"
#include "message/Work.h"
#include "message/WorkReply.h"

#include <string>
#include <variant>

namespace Auburnpost {

/// Names one try at a request on the host it entered; a retry has another number.
using AttemptNumber = StrongId<std::uint64_t, struct AttemptNumberTag>;

/// An entry host asks a home to execute work.
struct ForwardedWork {
    HostName from;
    SocketAddress replyTo;
    AttemptNumber attempt;
    /// Time left of the caller's deadline when it was sent.
    Duration timeLeft {};
    Work work;
};

/// A home's one answer to a ForwardedWork.
struct ForwardedReply {
    HostName from;
    AttemptNumber attempt;
    WorkReply reply;
};

/// Asks a host that holds a newer document for it.
struct DocumentWanted {
    HostName from;
    SocketAddress replyTo;
};

/// The document that a host has in force.
struct DocumentOffered {
    HostName from;
    ConfigVersion version;
    std::string text;
};

/// A message of one watcher of a group to another; its content is the group library's own.
struct WatcherNote {
    HostName from;
    DatabaseName database;
    std::string content;
};

using PeerMessage = std::variant<ForwardedWork, ForwardedReply, DocumentWanted, DocumentOffered, WatcherNote>;

} // namespace Auburnpost
