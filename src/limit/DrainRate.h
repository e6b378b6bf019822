#pragma once

#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace Auburnpost::Limit {

/// Estimates how many requests per second leave a queue while requests wait in it.
class DrainRate {
public:
    /// Minimum length of a measured span, and its minimum number of starts. Shorter spans measure single gaps.
    static constexpr Duration minSpan = std::chrono::milliseconds(100);
    static constexpr std::size_t minStarts = 4;
    /// Age from which an estimate says nothing about the present.
    static constexpr Duration maxAge = std::chrono::seconds(1);

    /// Records that the first request began to wait.
    void recordBacklog(Instant now);
    /// Records that no request waits any more: spans with idle capacity are not measured.
    void recordEmpty() { m_spanStartedAt.reset(); }
    /// Records that a request was started.
    void recordStart(Instant now);

    /// @return requests per second; empty when it is not known or outdated.
    [[nodiscard]] std::optional<double> perSecond(Instant now) const;

private:
    std::optional<Instant> m_spanStartedAt;
    std::size_t m_started { 0 };
    double m_perSecond { 0 };
    std::optional<Instant> m_measuredAt;
};

} // namespace Auburnpost::Limit
