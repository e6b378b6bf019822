#pragma once

#include "base/StrongId.h"

#include <cstddef>

namespace Auburnpost::Config {

/// A size in bytes.
using ByteCount = StrongId<std::size_t, struct ByteCountTag>;

} // namespace Auburnpost::Config
