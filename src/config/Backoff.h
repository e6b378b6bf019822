#pragma once

#include "base/Random.h"
#include "base/Time.h"

namespace Auburnpost::Config {

/// @return @p mean varied by up to a quarter either way, so that hosts don't call at the same moment.
Duration jittered(Duration mean, RandomEngine&);

/// @param failures failures in a row.
/// @return @p first doubled for each failure, up to @p limit, with jitter.
Duration backoff(Duration first, Duration limit, unsigned failures, RandomEngine&);

} // namespace Auburnpost::Config
