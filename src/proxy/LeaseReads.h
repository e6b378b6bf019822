#pragma once

#include "base/Time.h"

#include <optional>
#include <utility>

namespace Auburnpost::Proxy {

/// Schedules the reads of the promotion lease's row, which a promotion and a doubt about the primary require, one at a
/// time.
class LeaseReads {
public:
    /// Time after which a read that was not answered counts as lost. Calls to the store time out before.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(1200);

    /// Requests a read for the promotion, sent no earlier than now.
    void request() { m_isRequested = true; }
    /// @return whether the promotion waits for a read that was not sent yet; an answer that comes now is older.
    [[nodiscard]] bool isRequested() const { return m_isRequested; }
    /// @param isWanted whether a read is wanted for another reason.
    /// @return whether a read has to be sent now; it then counts as sent.
    bool send(Instant now, bool isWanted)
    {
        if (m_sentAt && now - *m_sentAt < answerTimeout)
            return false;
        if (!std::exchange(m_isRequested, false) && !isWanted)
            return false;
        m_sentAt = now;
        return true;
    }
    /// Records the answer. @return when the read was sent; empty if none was in progress.
    std::optional<Instant> answered() { return std::exchange(m_sentAt, {}); }

private:
    std::optional<Instant> m_sentAt;
    bool m_isRequested { false };
};

} // namespace Auburnpost::Proxy
