#pragma once

#include <random>

namespace Auburnpost {

/// Random engine of the decision logic. Functions receive it as an argument and the caller seeds it, so that
/// simulations are reproducible.
using RandomEngine = std::mt19937_64;

} // namespace Auburnpost
