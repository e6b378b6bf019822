#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <random>
#include <utility>

namespace Auburnpost::Proxy {

enum class EventSource : std::uint8_t {
    /// Events that keep no order among each other.
    Any,
    Connection,
    Session,
};

/// Events of one source, which keep their order.
using EventStream = std::pair<EventSource, std::uint64_t>;

/// Draws how long events that have reached a process wait until it handles them.
class HandlingDelays {
public:
    explicit HandlingDelays(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// @return the time from the arrival of an event until it is handled: usually none, rarely tenths of a second.
    Duration delayOf(Instant now, const EventStream& stream)
    {
        constexpr double undelayedShare = 0.85;
        constexpr double shortShare = 0.9;
        const auto longest = std::chrono::milliseconds(std::bernoulli_distribution(shortShare)(m_random) ? 5 : 300);
        std::uniform_int_distribution<Duration::rep> draw(0, Duration(longest).count());
        auto handledAt = now;
        if (!std::bernoulli_distribution(undelayedShare)(m_random))
            handledAt += Duration(draw(m_random));
        if (stream.first == EventSource::Any)
            return handledAt - now;
        auto& last = m_lastHandledAt[stream];
        last = std::max(last, handledAt);
        return last - now;
    }

private:
    std::mt19937_64 m_random;
    /// When the last event of each stream is handled.
    std::map<EventStream, Instant> m_lastHandledAt;
};

} // namespace Auburnpost::Proxy
