#pragma once

#include <cstdint>
#include <string_view>

namespace Auburnpost {

enum class TargetRole : std::uint8_t {
    Replica,
    Primary,
    /// A former primary that was fenced by a higher term and does not replicate from a new primary yet.
    Fenced,
};

/// @return "replica", "primary" or "fenced".
std::string_view toString(TargetRole);

} // namespace Auburnpost
