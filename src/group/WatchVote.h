#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"

#include <cstdint>

namespace Auburnpost::Group {

/// What one watcher tells the others about the primary.
struct WatchVote {
    /// Incarnation of the sender and number of the vote within it; the higher pair is the newer vote.
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    /// Highest term whose primary the sender knows; 0 when it knows none.
    Term term;
    /// The primary of that term; empty when it knows none.
    TargetName primary;
    /// Whether the sender takes that primary for failed.
    bool suspects { false };

    bool operator==(const WatchVote&) const = default;
};

} // namespace Auburnpost::Group
