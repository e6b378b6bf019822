#include "load/Arrivals.h"

namespace Auburnpost::Load {

Arrivals::Arrivals(Instant begin, double ratePerSecond, Surge surge)
    : m_begin(begin)
    , m_ratePerSecond(ratePerSecond)
    , m_surge(surge)
{
}

Instant Arrivals::next(Instant previous, RandomEngine& random) const
{
    std::exponential_distribution<double> gap(rateAt(previous));
    return previous + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
}

double Arrivals::rateAt(Instant instant) const
{
    const auto elapsed = instant - m_begin;
    const bool isSurging = elapsed >= m_surge.start && elapsed < m_surge.start + m_surge.length;
    return isSurging ? m_ratePerSecond * m_surge.factor : m_ratePerSecond;
}

} // namespace Auburnpost::Load
