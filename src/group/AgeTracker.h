#pragma once

#include "base/LogPoint.h"
#include "base/Time.h"

#include <deque>
#include <map>
#include <optional>

namespace Auburnpost::Group {

/// Computes an upper bound of a log's age from observations of the primary. A sample states where the primary's log
/// ended at a given moment. Ages count from that moment, or from the last moment at which the sample's term was
/// confirmed as not replaced, whichever is earlier.
class AgeTracker {
public:
    /// Records the end of the primary's log.
    /// @param sentAt when the command was sent whose answer reported the end; the end is not older than that.
    void recordPrimaryEnd(Instant sentAt, const LogPoint& end);
    /// Records that no term higher than @p term had been won at @p moment.
    void confirmTerm(Term term, Instant moment);

    /// @return an upper bound of the age of a log that ends at @p end; empty when that log covers no sample.
    [[nodiscard]] std::optional<Duration> ageOf(Instant now, const LogPoint& end) const;
    [[nodiscard]] std::size_t samples() const { return m_samples.size(); }

private:
    struct Sample {
        LogPoint end;
        Instant sentAt;
    };

    void thinOut();

    /// In ascending order of end.
    std::deque<Sample> m_samples;
    /// Last moment at which each term was confirmed as not replaced.
    std::map<Term, Instant> m_confirmedAt;
};

} // namespace Auburnpost::Group
