#pragma once

#include "base/Expected.h"
#include "group/GroupAction.h"

#include <string>
#include <string_view>
#include <variant>

namespace Auburnpost {

/// Hold new writes back for a switch.
struct DrainNote {
    Group::SwitchId id;
    Duration limit {};
};

/// No write is in flight any more.
struct DrainedNote {
    Group::SwitchId id;
};

/// Let writes pass again.
struct ResumeNote {
    Group::SwitchId id;
};

/// What watchers of one group tell each other.
using WatcherNoteContent = std::variant<Group::WatchVote, DrainNote, DrainedNote, ResumeNote>;

std::string writeWatcherNote(const WatcherNoteContent&);
/// @return the note, or ErrorCode::BadMessage for bytes that are none.
Expected<WatcherNoteContent> readWatcherNote(std::string_view bytes);

} // namespace Auburnpost
