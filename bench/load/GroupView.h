#pragma once

#include "base/Expected.h"
#include "load/Endpoints.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Auburnpost::Load {

/// Role and terms of a target in its group, from its `GET /state`.
struct TargetState {
    TargetName name;
    bool isPrimary { false };
    std::uint64_t term { 0 };
    std::uint64_t fencedTerm { 0 };

    /// @return the state, or ErrorCode::BadMessage with the reason.
    static Expected<TargetState> parse(std::string_view state);
};

/// State of a database at one of its homes, from the `GET /state` of the host.
struct HomeState {
    /// State of the takeover chart.
    std::string failover;
    bool suspectsPrimary { false };
    /// Whether the home accepts writes.
    bool isOpen { false };
    std::uint64_t term { 0 };

    /// @return the state, or ErrorCode::BadMessage when the host is not a home of the database.
    static Expected<HomeState> parse(std::string_view state, const DatabaseName&);
};

/// @return the target in the primary role with the highest fenced term, because a replaced primary may still report
/// the primary role; empty when there is none.
std::optional<TargetName> findPrimary(const std::vector<TargetState>&);

} // namespace Auburnpost::Load
