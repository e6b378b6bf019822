#pragma once

#include "base/Random.h"
#include "base/Time.h"

namespace Auburnpost::Load {

/// An interval of higher load, relative to the beginning of the run.
struct Surge {
    Duration start {};
    Duration length {};
    double factor { 1 };
};

/// Open-loop arrivals: a Poisson process whose rate is multiplied by a factor during a surge.
class Arrivals {
public:
    /// @param ratePerSecond must be above 0.
    Arrivals(Instant begin, double ratePerSecond, Surge = {});

    /// @return the time of the arrival after @p previous, drawn at random.
    [[nodiscard]] Instant next(Instant previous, RandomEngine&) const;

private:
    [[nodiscard]] double rateAt(Instant) const;

    Instant m_begin;
    double m_ratePerSecond;
    Surge m_surge;
};

} // namespace Auburnpost::Load
