#pragma once

#include <cstdint>
#include <string>

namespace Auburnpost::Load {

/// @return a name that no earlier run on the same site has had: the seed and the time of day.
std::string makeRunName(std::uint64_t seed);

} // namespace Auburnpost::Load
