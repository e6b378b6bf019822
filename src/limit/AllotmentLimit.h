#pragma once

namespace Auburnpost::Limit {

/// The rate limit of an organisation over all hosts together, as the parameters of a token bucket.
struct AllotmentLimit {
    /// Operations per second.
    double ratePerSecond { 0 };
    /// Operations beyond the rate that the organisation may start at once after a time without any.
    double burst { 0 };

    bool operator==(const AllotmentLimit&) const = default;
};

} // namespace Auburnpost::Limit
