#pragma once

#include "base/Ids.h"

#include <functional>

namespace Auburnpost::Config {

/// Gives an id that no other call of this process has.
using PlatformCallIds = std::function<PlatformCallId()>;

} // namespace Auburnpost::Config
