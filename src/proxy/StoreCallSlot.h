#pragma once

#include <cstdint>

namespace Auburnpost::Proxy {

/// One of the two calls that a follower of a table may have in progress: a call, and a second try beside one that
/// should have been answered already.
enum class StoreCallSlot : std::uint8_t { First, Second };

} // namespace Auburnpost::Proxy
