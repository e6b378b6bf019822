#pragma once

#include "base/Ids.h"

#include <functional>

namespace Auburnpost::Config {

/// Returns an id that is unique among the platform calls of this process.
using PlatformCallIdGenerator = std::function<PlatformCallId()>;

} // namespace Auburnpost::Config
