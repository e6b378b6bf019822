#pragma once

#include "base/Random.h"
#include "base/Time.h"

namespace Auburnpost::Config {

/// @return a random duration from 0.75 to 1.25 times @p mean, so that hosts do not call at the same moment.
Duration jittered(Duration mean, RandomEngine&);

/// Calculates an exponential backoff with jitter.
/// @param failures number of consecutive failures.
/// @return @p first doubled for each failure, at most @p limit, varied by jittered().
Duration backoff(Duration first, Duration limit, unsigned failures, RandomEngine&);

} // namespace Auburnpost::Config
