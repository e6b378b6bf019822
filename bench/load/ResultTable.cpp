#include "load/ResultTable.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <iomanip>
#include <limits>

namespace Auburnpost::Load {

namespace {

    namespace Accumulators = boost::accumulators;

    /// Number of highest samples kept. Quantiles from the median upwards are exact for up to twice as many samples.
    constexpr std::size_t tailSamples = 200'000;
    constexpr std::size_t maxShownPerRule = 5;
    constexpr int kindWidth = 14;
    constexpr int countWidth = 9;

} // namespace

struct LatencyDistribution::Samples {
    Accumulators::accumulator_set<double,
        Accumulators::stats<Accumulators::tag::max, Accumulators::tag::tail_quantile<Accumulators::right>>>
        set { Accumulators::tag::tail<Accumulators::right>::cache_size = tailSamples };
};

LatencyDistribution::LatencyDistribution()
    : m_samples(std::make_unique<Samples>())
{
}

LatencyDistribution::~LatencyDistribution() = default;
LatencyDistribution::LatencyDistribution(LatencyDistribution&&) noexcept = default;
LatencyDistribution& LatencyDistribution::operator=(LatencyDistribution&&) noexcept = default;

void LatencyDistribution::add(Duration latency)
{
    m_samples->set(std::chrono::duration<double, std::milli>(latency).count());
}

double LatencyDistribution::quantileMs(double share) const
{
    if (Accumulators::count(m_samples->set) == 0)
        return std::numeric_limits<double>::quiet_NaN();
    return Accumulators::quantile(m_samples->set, Accumulators::quantile_probability = share);
}

double LatencyDistribution::maximumMs() const
{
    if (Accumulators::count(m_samples->set) == 0)
        return std::numeric_limits<double>::quiet_NaN();
    return Accumulators::max(m_samples->set);
}

void ResultTable::add(const HistoryEvent& event)
{
    auto& row = m_rows[event.kind];
    ++row.outcomes[event.outcome];
    row.attempts += event.attempts;
    row.isRead = !event.isWrite;
    if (event.outcome != Outcome::Done) {
        ++row.codes[event.code];
        return;
    }
    row.latency.add(event.completed - event.invoked);
    if (event.servedBy.ends_with("replica"))
        ++row.byReplica;
}

void ResultTable::add(const Violation& violation)
{
    m_violations[violation.rule].push_back(violation.message);
}

std::size_t ResultTable::violations() const
{
    std::size_t count = 0;
    for (const auto& [rule, messages] : m_violations)
        count += messages.size();
    return count;
}

void ResultTable::print(std::ostream& output) const
{
    output << std::left << std::setw(kindWidth) << "kind" << std::right;
    for (const auto* const title :
        { "done", "not_run", "unknown", "attempts", "p50_ms", "p90_ms", "p99_ms", "max_ms", "replica" })
        output << std::setw(countWidth) << title;
    output << '\n';
    for (const auto& [kind, row] : m_rows)
        printRow(output, kind, row);
    for (const auto& [kind, row] : m_rows) {
        for (const auto& [code, count] : row.codes)
            output << "refused " << kind << ' ' << code << ' ' << count << '\n';
    }
    for (const auto& [rule, messages] : m_violations) {
        output << "violation " << toString(rule) << ' ' << messages.size() << '\n';
        for (std::size_t index = 0; index < std::min(messages.size(), maxShownPerRule); ++index)
            output << "  " << messages[index] << '\n';
    }
    output << "violations " << violations() << '\n';
}

void ResultTable::printRow(std::ostream& output, const std::string& kind, const Row& row) const
{
    const auto count = [&](Outcome outcome) {
        const auto found = row.outcomes.find(outcome);
        return found == row.outcomes.end() ? std::uint64_t(0) : found->second;
    };
    output << std::left << std::setw(kindWidth) << kind << std::right << std::fixed << std::setprecision(1);
    for (const auto outcome : { Outcome::Done, Outcome::NotRun, Outcome::Unknown })
        output << std::setw(countWidth) << count(outcome);
    output << std::setw(countWidth) << row.attempts;
    for (const auto share : { 0.5, 0.9, 0.99 })
        output << std::setw(countWidth) << row.latency.quantileMs(share);
    output << std::setw(countWidth) << row.latency.maximumMs();
    if (row.isRead && count(Outcome::Done))
        output << std::setw(countWidth - 1)
               << 100.0 * static_cast<double>(row.byReplica) / static_cast<double>(count(Outcome::Done)) << '%';
    output << '\n';
}

} // namespace Auburnpost::Load
