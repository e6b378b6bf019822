#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Auburnpost::Limit {

/// Service times by kind of request, estimated from answers as an exponentially weighted mean.
/// @tparam kinds the number of kinds.
template <std::size_t kinds> class ServiceTimes {
public:
    /// Estimate of a kind that has not been answered within maxAge.
    static constexpr Duration defaultTime = std::chrono::milliseconds(10);
    static constexpr Duration maxAge = std::chrono::seconds(10);

    /// Records an answer. @param elapsed time from sending the request to its answer.
    void record(Instant now, std::size_t kind, Duration elapsed)
    {
        constexpr int newestShare = 8;
        auto& sample = m_samples[kind];
        const bool isFresh = sample.answeredAt && now - *sample.answeredAt <= maxAge;
        sample.mean = isFresh ? sample.mean + (elapsed - sample.mean) / newestShare : elapsed;
        sample.answeredAt = now;
    }

    /// @return the estimated service time of a request of the kind.
    [[nodiscard]] Duration estimate(Instant now, std::size_t kind) const
    {
        const auto& sample = m_samples[kind];
        return sample.answeredAt && now - *sample.answeredAt <= maxAge ? sample.mean : defaultTime;
    }

    /// @return the time since the last answer to a request of the kind; empty when there was none.
    [[nodiscard]] std::optional<Duration> age(Instant now, std::size_t kind) const
    {
        const auto& sample = m_samples[kind];
        return sample.answeredAt ? std::optional(now - *sample.answeredAt) : std::nullopt;
    }

private:
    struct Sample {
        Duration mean {};
        std::optional<Instant> answeredAt;
    };

    std::array<Sample, kinds> m_samples;
};

} // namespace Auburnpost::Limit
