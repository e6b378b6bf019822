#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct ConcurrencyLimitSettings {
    double minimum { 1 };
    double maximum { 64 };
    double initial { 2 };
    /// Mean latency above this multiple of the baseline lowers the limit.
    double tolerance { 2.0 };
    /// The limit is multiplied by this when it is lowered, and raised by one otherwise.
    double decrease { 0.9 };
    /// Share of the limit that has to be in use before it is raised.
    double usedShare { 0.8 };
    /// Once in so many windows the limit is divided for one window, in which the baseline is measured anew.
    std::size_t windowsPerBaseline { 100 };
    /// Above the tolerance, or a standing queue could pass for the baseline.
    double baselineDivisor { 4 };
    /// At most one change in each.
    Duration window { 100ms };
};

enum class Completion : std::uint8_t {
    Answered,
    /// The target refused for lack of capacity.
    Refused,
    /// No answer; its latency says nothing.
    Lost,
};

/// How many requests one home has in flight on one target: raised by one while latency stays near its baseline,
/// lowered by a factor when latency rises or the target refuses.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(ConcurrencyLimitSettings = {});

    /// @return one home's part of a target's slots, at least one.
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
    /// Lowest latency since it was last measured anew; zero until the first answer.
    Duration m_baseline {};
    std::size_t m_windowsSinceBaseline { 0 };
    bool m_isMeasuring { false };
    Instant m_windowStart;
    Duration m_windowSum {};
    Duration m_windowLeast {};
    std::size_t m_windowAnswers { 0 };
    std::size_t m_windowMostInFlight { 0 };
    bool m_windowRefused { false };
};

} // namespace Auburnpost::Limit
