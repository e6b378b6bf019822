#pragma once

#include <cstdint>
#include <string>

namespace Auburnpost::Load {

/// @return a run name that differs from all earlier ones on the same site: the seed and the wall-clock time in
/// milliseconds.
std::string makeRunName(std::uint64_t seed);

} // namespace Auburnpost::Load
