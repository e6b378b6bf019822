#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <deque>
#include <optional>

namespace Auburnpost::Proxy {

/// Moments at which a primary was shown not to be replaced, each with the end of its log. A promotion waits
/// proofLifetime between its last fence and its call, so a proof holds for that long after it was asked for. A member
/// that was fenced and resumed once the promotion was done looks like one that never was, until it joins the new
/// primary: a proof holds on only at the end of a chain of proofs too dense for a whole promotion to fit between two.
class ReadProofs {
public:
    /// How long a proof holds for reads of the current state. It bounds the rate of status questions from below and
    /// lengthens each failover by as much.
    static constexpr Duration proofLifetime = std::chrono::milliseconds(400);
    /// Two proofs at most this far apart are links of one chain: a promotion keeps its fences for proofLifetime and for
    /// what the platform takes, together above 0.7 s.
    static constexpr Duration chainGap = std::chrono::milliseconds(600);
    /// A chain vouches for its newest proof from this length on; a resumed member joins within less.
    static constexpr Duration chainLength = std::chrono::milliseconds(1000);
    /// Samples older than this serve no allowance that is worth a replica read.
    static constexpr Duration sampleLifetime = std::chrono::seconds(20);

    /// Takes a proof.
    /// @param askedAt before the first of its questions was sent.
    void add(Instant askedAt, const TargetName& primary, const LogPoint& primaryEnd);
    /// A member was seen fenced, or in a higher term: the chain starts anew.
    void breakChain() { m_chainStart.reset(); }

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
    std::optional<Instant> m_chainStart;
};

} // namespace Auburnpost::Proxy
