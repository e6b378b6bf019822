#pragma once

#include "base/Expected.h"
#include "group/GroupAction.h"

#include <string>
#include <string_view>
#include <variant>

namespace Auburnpost {

/// Asks a watcher to hold new writes for a switchover.
struct DrainRequest {
    Group::SwitchId id;
    Duration limit {};
};

/// Reports that the sender has no write in flight any more.
struct DrainCompleted {
    Group::SwitchId id;
};

/// Asks a watcher to resume writes.
struct ResumeRequest {
    Group::SwitchId id;
};

/// The messages that watchers of one database group exchange.
using WatcherMessageContent = std::variant<Group::WatchVote, DrainRequest, DrainCompleted, ResumeRequest>;

std::string writeWatcherMessage(const WatcherMessageContent&);
/// @return the message, or ErrorCode::BadMessage for bytes that do not encode one.
Expected<WatcherMessageContent> readWatcherMessage(std::string_view bytes);

} // namespace Auburnpost
