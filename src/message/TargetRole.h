#pragma once

#include <cstdint>
#include <string_view>

namespace Auburnpost {

enum class TargetRole : std::uint8_t {
    Replica,
    Primary,
    /// A former primary that a higher term has fenced and that follows nobody yet.
    Fenced,
};

/// @return "replica", "primary" or "fenced".
std::string_view toString(TargetRole);

} // namespace Auburnpost
