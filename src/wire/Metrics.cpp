#include "wire/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <sstream>

namespace Auburnpost::Wire {

namespace {

    namespace Accumulators = boost::accumulators;

    using Accumulator = Accumulators::accumulator_set<double,
        Accumulators::stats<Accumulators::tag::count, Accumulators::tag::mean, Accumulators::tag::extended_p_square>>;

    constexpr std::array quantiles { 0.5, 0.9, 0.99 };
    constexpr std::array quantileNames { "p50", "p90", "p99" };
    /// Number of markers of the percentile estimator, which yields no estimate before each marker has a sample.
    constexpr std::size_t markerCount = 2 * quantiles.size() + 3;

} // namespace

struct Metrics::Series {
    Accumulator samples { Accumulators::extended_p_square_probabilities = quantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::record(std::string_view series, double sample)
{
    auto found = m_series.find(series);
    if (found == m_series.end())
        found = m_series.emplace(std::string(series), std::make_unique<Series>()).first;
    found->second->samples(sample);
}

std::string Metrics::dump() const
{
    std::ostringstream text;
    for (const auto& [name, series] : m_series) {
        text << name << " count=" << Accumulators::count(series->samples)
             << " mean=" << Accumulators::mean(series->samples);
        const bool isEstimated = Accumulators::count(series->samples) >= markerCount;
        const auto values = Accumulators::extended_p_square(series->samples);
        for (std::size_t index = 0; isEstimated && index < quantiles.size(); ++index)
            text << ' ' << quantileNames[index] << '=' << values[static_cast<std::ptrdiff_t>(index)];
        text << '\n';
    }
    return text.str();
}

} // namespace Auburnpost::Wire
