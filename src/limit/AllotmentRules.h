#pragma once

#include "base/Time.h"
#include "limit/AllotmentLimit.h"

namespace Auburnpost::Limit {

/// The tolerated excess over the organisations' limits, from the settings. In each span of `window` the operations of
/// an organisation are at most (rate x window + burst) x (1 + overage) + slack.
struct AllotmentRules {
    Duration window {};
    double overage { 0 };
    double slack { 0 };

    bool operator==(const AllotmentRules&) const = default;

    /// @return the permits that all hosts together create in a second.
    [[nodiscard]] double creationRate(const AllotmentLimit&) const;
    /// @return the maximum number of unused permits that exist at a time on all hosts together. With creationRate() it
    /// keeps each window within its bound; what is left of the bound covers hosts that know different numbers of hosts.
    [[nodiscard]] double capacity(const AllotmentLimit&) const;
};

/// Lifetimes and intervals of the messages between hosts.
struct AllotmentTimes {
    /// Interval of requests to the coordinator in calm periods. It limits the datagrams to about one a second.
    Duration requestInterval { 800'000 };
    /// Time after which a request without a reply is repeated; a reply from another region takes about 40 ms.
    Duration replyTimeout { 250'000 };
    /// Unanswered requests after which another coordinator is chosen.
    int maxUnanswered { 4 };
    /// Minimum interval of requests for an organisation that is short of permits.
    Duration urgentInterval { 50'000 };
    /// The same after a reply that granted less than was requested, so that an organisation over its limit does not
    /// cause a datagram for each refusal.
    Duration shortInterval { 150'000 };
    /// Time from a request during which the permits of its reply may be used: one interval and two lost datagrams.
    Duration grantLifetime { 1'300'000 };
    /// Time from a request during which the share that it lends is not used by its owner. The coordinator counts it
    /// from its own stamp that the request echoes, which is up to one interval older.
    Duration leaseLifetime { 3'200'000 };
    /// Interval of requests to a coordinator that did not reply.
    Duration probeInterval { 1'000'000 };
    /// Successive replies to such requests after which the coordinator is used again.
    int probesToReturn { 3 };
    /// Time within which other hosts read the record of a new host; the host list is read every 12 s.
    Duration listingDelay { 15'000'000 };
    /// Time for which a lower number of hosts must be known before shares grow.
    Duration shrinkDelay { 30'000'000 };

    /// @return the duration increased by the maximum difference of two clocks' rates, 0.1 %.
    [[nodiscard]] static constexpr Duration withDrift(Duration duration) { return duration + duration / 1000; }
};

} // namespace Auburnpost::Limit
