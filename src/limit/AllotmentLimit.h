#pragma once

namespace Auburnpost::Limit {

struct AllotmentLimit {
    double ratePerSecond { 0 };
    double burst { 0 };
    bool operator==(const AllotmentLimit&) const = default;
};

} // namespace Auburnpost::Limit
