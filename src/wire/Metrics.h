#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Auburnpost::Wire {

/// Named series of samples, each with its count, mean and the 50th, 90th and 99th percentile.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds a sample to a series; the first sample creates the series.
    /// @param series a name with its unit, such as "caller_request_ms".
    void record(std::string_view series, double sample);

    /// @return one line for each series, sorted by name: "NAME count=N mean=X p50=X p90=X p99=X",
    /// without the percentiles while a series has fewer than nine samples.
    [[nodiscard]] std::string dump() const;

private:
    struct Series;

    std::map<std::string, std::unique_ptr<Series>, std::less<>> m_series;
};

} // namespace Auburnpost::Wire
