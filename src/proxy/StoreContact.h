#pragma once

#include "base/Time.h"
#include "proxy/StoreTable.h"

#include <array>
#include <optional>

namespace Auburnpost::Proxy {

/// What the calls for all followed tables of this host tell about whether they are answered. A long poll that was lost
/// is not overdue before the end of its wait. So the polls of the tables end in turn, and the first failed call for one
/// table puts those in doubt that were sent for the others before.
class StoreContact {
public:
    /// Records a call.
    /// @param answerBy when it is answered at the latest if it is not lost.
    void recordCall(StoreTable, Instant now, Instant answerBy);
    void recordAnswer(StoreTable, Instant now);
    /// Records that a call has failed or is overdue.
    void recordFailure(StoreTable, Instant now);

    /// @return whether calls for a table began to fail after a call was sent.
    [[nodiscard]] bool isInDoubt(Instant sentAt) const;
    /// @return whether a second try for the table may be sent. While nothing is answered, the tables take turns.
    /// @param interval minimum time between two tries of this host.
    /// @param answeredInterval minimum time from the last call for the table if another one was answered since.
    [[nodiscard]] bool mayTryAgain(StoreTable, Instant now, Duration interval, Duration answeredInterval) const;
    /// @return the wait of a poll that is sent now, so that the polls of the tables end about half of a wait apart.
    /// @param longest the longest wait.
    [[nodiscard]] Duration pollWait(StoreTable, Instant now, Duration longest) const;

private:
    struct Table {
        Instant sentAt {};
        Instant answerBy {};
        /// When the first of the calls that failed since the last answer failed.
        std::optional<Instant> failingSince;
    };

    [[nodiscard]] Table& table(StoreTable table) { return m_tables[static_cast<std::size_t>(table)]; }
    [[nodiscard]] const Table& table(StoreTable table) const { return m_tables[static_cast<std::size_t>(table)]; }

    std::array<Table, followedTables.size()> m_tables;
    Instant m_answeredAt {};
};

} // namespace Auburnpost::Proxy
