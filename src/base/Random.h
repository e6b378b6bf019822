#pragma once

#include <random>

namespace Auburnpost {

/// The random engine that deciding functions take as an argument; seeded by the caller.
using RandomEngine = std::mt19937_64;

} // namespace Auburnpost
