#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <map>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct OrganisationLimitsSettings {
    /// Maximum number of requests that the host holds at a time.
    std::size_t capacity { 4096 };
    /// While less than this share of the capacity is in use, organisations are not limited.
    double freeShare { 0.75 };
    /// Time after its last request for which an organisation counts as active.
    Duration activeWindow { 1s };
};

/// Prevents a flood of one organisation's requests from using up the whole entry host: near capacity each active
/// organisation is limited to an equal share.
class OrganisationLimits {
public:
    explicit OrganisationLimits(OrganisationLimitsSettings = {});

    /// Admits a request and counts it. @return whether it is admitted; a refused request does not count.
    bool tryAdmit(Instant now, const OrganisationName&);
    /// Records that an admitted request was answered.
    void recordFinished(const OrganisationName&);

    [[nodiscard]] std::size_t total() const { return m_total; }
    [[nodiscard]] std::size_t inFlight(const OrganisationName&) const;
    /// @return the number of requests that each active organisation may hold near capacity.
    [[nodiscard]] std::size_t fairShare() const;

private:
    struct Usage {
        std::size_t inFlight { 0 };
        Instant lastSeen;
    };

    void removeInactive(Instant now);

    OrganisationLimitsSettings m_settings;
    std::map<OrganisationName, Usage> m_usage;
    std::size_t m_total { 0 };
    Instant m_nextSweep;
};

} // namespace Auburnpost::Limit
