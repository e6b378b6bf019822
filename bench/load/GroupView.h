#pragma once

#include "base/Expected.h"
#include "load/Endpoints.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Auburnpost::Load {

/// What a target's `GET /state` says of its place in the group.
struct TargetStanding {
    TargetName name;
    bool isPrimary { false };
    std::uint64_t term { 0 };
    std::uint64_t fencedTerm { 0 };

    /// @return the standing, or ErrorCode::BadMessage with the reason.
    static Expected<TargetStanding> parse(std::string_view state);
};

/// What a host's `GET /state` says of a database that it is a home of.
struct HomeStanding {
    std::string takeover;
    bool suspectsPrimary { false };
    bool isOpen { false };
    std::uint64_t term { 0 };

    /// @return the standing, or ErrorCode::BadMessage when the host is no home of the database.
    static Expected<HomeStanding> parse(std::string_view state, const DatabaseName&);
};

/// @return the primary of the highest fenced term: one that was replaced may still believe that it leads.
std::optional<TargetName> findPrimary(const std::vector<TargetStanding>&);

} // namespace Auburnpost::Load
