#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <deque>
#include <optional>

namespace Auburnpost::Proxy {

/// Moments at which a primary was shown not to be replaced, each with the end of its log then. A proof says nothing of
/// any later moment: a read of the current state needs one that was asked for after it arrived.
class ReadProofs {
public:
    /// Samples older than this serve no allowance that is worth a replica read.
    static constexpr Duration sampleLifetime = std::chrono::seconds(20);

    /// Takes a proof.
    /// @param askedAt before the first of its questions was sent.
    void add(Instant askedAt, const TargetName& primary, const LogPoint& primaryEnd);

    /// @return whether a read that arrived at @p arrival sees every acknowledged commit on @p primary.
    [[nodiscard]] bool covers(Instant arrival, const TargetName& primary) const;
    /// @return a position that holds every commit acknowledged before @p moment, the lowest one known.
    [[nodiscard]] std::optional<LogPoint> pointAt(Instant moment) const;
    /// @return when the newest proof was asked for; empty when there is none.
    [[nodiscard]] std::optional<Instant> newest() const;

private:
    struct Sample {
        Instant askedAt;
        TargetName primary;
        LogPoint end;
    };

    /// Rising by askedAt.
    std::deque<Sample> m_samples;
};

} // namespace Auburnpost::Proxy
