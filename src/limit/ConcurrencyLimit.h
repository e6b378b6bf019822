#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct ConcurrencyLimitSettings {
    /// Bounds and initial value of the limit, in requests in flight.
    double minimum { 1 };
    double maximum { 64 };
    double initial { 2 };
    /// The limit is lowered when the mean latency exceeds this multiple of the baseline.
    double tolerance { 2.0 };
    /// Factor by which the limit is lowered; it is raised in steps of one.
    double decrease { 0.9 };
    /// Share of the limit that has to be in use for it to be raised.
    double usedShare { 0.8 };
    /// Number of windows after which the baseline is measured again, in one window with a divided limit.
    std::size_t windowsPerBaseline { 100 };
    /// Divides the limit while the baseline is measured. It has to exceed the tolerance, or the latency of a standing
    /// queue could be mistaken for the baseline.
    double baselineDivisor { 4 };
    /// Length of a window; the limit changes at most once in each.
    Duration window { 100ms };
};

enum class Completion : std::uint8_t {
    Answered,
    /// The target refused for lack of capacity.
    Refused,
    /// No answer arrived; the latency is not used.
    Unanswered,
};

/// Adaptive limit of the requests that one home has in flight on one target (AIMD): raised by one while the latency
/// stays near its baseline, lowered by a factor when the latency rises or the target refuses requests.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencyLimitSettings = {});

    /// @return one home's share of a target's slots, at least one.
    [[nodiscard]] static double initialFor(std::size_t slots, std::size_t homes);

    /// Starts a request. @return whether the limit admits it.
    bool tryAcquire();
    /// Ends a request that tryAcquire() admitted.
    void release(Instant now, Duration latency, Completion);

    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] std::size_t inFlight() const { return m_inFlight; }

private:
    void endWindow(Instant now);
    void adapt();

    ConcurrencyLimitSettings m_settings;
    double m_limit;
    std::size_t m_inFlight { 0 };
    /// Lowest latency since the baseline was last measured again; zero until the first answer.
    Duration m_baseline {};
    std::size_t m_windowsSinceBaseline { 0 };
    bool m_isMeasuringBaseline { false };
    Instant m_windowStart;
    Duration m_windowLatencySum {};
    Duration m_windowLowestLatency {};
    std::size_t m_windowAnswers { 0 };
    std::size_t m_windowMaxInFlight { 0 };
    bool m_windowRefused { false };
};

} // namespace Auburnpost::Limit
