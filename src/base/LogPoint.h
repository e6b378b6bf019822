#pragma once

#include "base/StrongId.h"

#include <compare>
#include <cstdint>

namespace Auburnpost {

/// Term of a database group, as in Raft: every promotion of a primary raises it.
using Term = StrongId<std::uint64_t, struct TermTag>;
/// Index of an entry in a group's log, counted from 1; 0 is the empty log.
using Position = StrongId<std::uint64_t, struct PositionTag>;

/// The end of a log, or one entry in it. Ordered by term before position, because the log that ends in the
/// higher term holds every entry that a majority held in a lower term.
struct LogPoint {
    Term term;
    Position position;

    auto operator<=>(const LogPoint&) const = default;

    /// @return whether a log that ends at this point holds the entry @p wanted, provided that a majority once held it.
    [[nodiscard]] bool covers(const LogPoint& wanted) const
    {
        return term >= wanted.term && position >= wanted.position;
    }
};

} // namespace Auburnpost
