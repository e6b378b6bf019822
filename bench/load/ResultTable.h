#pragma once

#include "load/HistoryEvent.h"
#include "load/Violation.h"

#include <map>
#include <memory>
#include <ostream>

namespace Auburnpost::Load {

/// Latency distribution of one kind of request.
class LatencyDistribution {
public:
    LatencyDistribution();
    ~LatencyDistribution();
    LatencyDistribution(LatencyDistribution&&) noexcept;
    LatencyDistribution& operator=(LatencyDistribution&&) noexcept;

    void add(Duration);
    /// @param share fraction of the samples, from 0.5 to 1. @return the latency in milliseconds; NaN without samples.
    [[nodiscard]] double quantileMs(double share) const;
    /// @return the highest latency in milliseconds; NaN without samples.
    [[nodiscard]] double maximumMs() const;

private:
    struct Samples;
    std::unique_ptr<Samples> m_samples;
};

/// Counts and latencies per kind of request, and the violations found.
class ResultTable {
public:
    void add(const HistoryEvent&);
    void add(const Violation&);

    /// @return the number of violations.
    [[nodiscard]] std::size_t violations() const;
    /// Prints one line per kind of request, then the error codes with their counts, then the violations.
    void print(std::ostream&) const;

private:
    struct Row {
        std::map<Outcome, std::uint64_t> outcomes;
        std::uint64_t attempts { 0 };
        bool isRead { false };
        /// Successful reads served by a replica.
        std::uint64_t byReplica { 0 };
        std::map<std::string, std::uint64_t> codes;
        LatencyDistribution latency;
    };

    void printRow(std::ostream&, const std::string& kind, const Row&) const;

    std::map<std::string, Row> m_rows;
    std::map<Rule, std::vector<std::string>> m_violations;
};

} // namespace Auburnpost::Load
