#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <map>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct OrganisationLimitsSettings {
    /// Requests that the host holds at a time.
    std::size_t capacity { 4096 };
    /// While less than this share of the capacity is taken, no organisation is held to its share.
    double freeShare { 0.75 };
    /// An organisation counts as active for this long after its last request.
    Duration activeWindow { 1s };
};

/// Keeps one organisation's flood from taking the whole of the entry host: near capacity each active organisation
/// is held to an equal share.
class OrganisationLimits {
public:
    explicit OrganisationLimits(OrganisationLimitsSettings = {});

    /// Counts a request in. @return whether it is admitted; a refused one doesn't count.
    bool tryAdmit(Instant now, const OrganisationName&);
    /// An admitted request was answered.
    void finished(const OrganisationName&);

    [[nodiscard]] std::size_t total() const { return m_total; }
    [[nodiscard]] std::size_t inFlight(const OrganisationName&) const;
    /// @return requests that each active organisation may hold near capacity.
    [[nodiscard]] std::size_t fairShare() const;

private:
    struct Usage {
        std::size_t inFlight { 0 };
        Instant lastSeen;
    };

    void forgetInactive(Instant now);

    OrganisationLimitsSettings m_settings;
    std::map<OrganisationName, Usage> m_usage;
    std::size_t m_total { 0 };
    Instant m_nextSweep;
};

} // namespace Auburnpost::Limit
