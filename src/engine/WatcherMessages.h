#pragma once

#include "base/Expected.h"
#include "group/GroupAction.h"

#include <string>
#include <string_view>
#include <variant>

namespace Auburnpost {

/// Asks a watcher to hold new writes for a switchover.
struct DrainRequest {
    Group::SwitchoverId id;
    Duration limit {};
};

/// Reports that the sender has no write in flight any more.
struct DrainCompleted {
    Group::SwitchoverId id;
};

/// Asks a watcher to resume writes.
struct ResumeRequest {
    Group::SwitchoverId id;
};

/// The messages that watchers of one database group exchange.
using WatcherMessageContent = std::variant<Group::WatcherVote, DrainRequest, DrainCompleted, ResumeRequest>;

std::string writeWatcherMessage(const WatcherMessageContent&);
/// @return the message, or ErrorCode::BadMessage for bytes that do not encode one.
Expected<WatcherMessageContent> readWatcherMessage(std::string_view bytes);

} // namespace Auburnpost
