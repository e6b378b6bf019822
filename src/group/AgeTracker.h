#pragma once

#include "base/LogPoint.h"
#include "base/Time.h"

#include <deque>
#include <map>
#include <optional>

namespace Auburnpost::Group {

/// Bounds the age of a log from what was seen of the primary. A sample tells that at its moment the primary's log
/// ended at a position; it counts up to the last moment at which the primary was shown not to be replaced.
class AgeTracker {
public:
    /// Takes the end of the primary's log.
    /// @param sentAt when the command was sent that it came with; the end is not older than that.
    void samplePrimary(Instant sentAt, const LogPoint& end);
    /// Takes note that at @p moment no higher term than @p term had been won.
    void notReplaced(Term term, Instant moment);

    /// @return an upper bound of the age of a log that ends at @p end; empty when no sample lies within it.
    [[nodiscard]] std::optional<Duration> ageOf(Instant now, const LogPoint& end) const;
    [[nodiscard]] std::size_t samples() const { return m_samples.size(); }

private:
    struct Sample {
        LogPoint end;
        Instant sentAt;
    };

    void thinOut();

    /// Rising by end.
    std::deque<Sample> m_samples;
    std::map<Term, Instant> m_notReplaced;
};

} // namespace Auburnpost::Group
