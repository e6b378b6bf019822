#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"

#include <cstdint>

namespace Auburnpost::Group {

/// A watcher's view of the primary, as sent to the other watchers.
struct WatcherVote {
    /// Incarnation of the sender and number of the vote within it; the higher pair belongs to the newer vote.
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /// Highest term whose primary the sender knows; 0 when it knows none.
    Term term;
    /// The primary of that term; empty when it knows none.
    TargetName primary;
    /// Whether the sender considers that primary failed.
    bool suspects { false };

    bool operator==(const WatcherVote&) const = default;
};

} // namespace Auburnpost::Group
