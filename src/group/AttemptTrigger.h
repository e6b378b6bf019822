#pragma once

#include "base/Random.h"
#include "group/GroupSettings.h"
#include "group/Takeover.h"
#include "group/VoteTable.h"

namespace Auburnpost::Group {

/// Decides when this watcher starts a takeover. Rank, jitter, back-off and grace only keep watchers from disturbing
/// each other; nothing unsafe happens when several start at once.
class AttemptTrigger {
public:
    explicit AttemptTrigger(const GroupSettings&);

    /// @return whether an attempt is to be started now.
    bool due(Instant now, RandomEngine&, const VoteTable&, const MemberTable&, const Takeover&);

private:
    /// @param highest the highest term that a member or another watcher told of.
    /// @param ofPrimary the term of the primary that this watcher sees.
    void noteOtherAttempt(Instant now, Term highest, Term ofPrimary, const Takeover&);
    void noteFailure(Instant now, RandomEngine&, unsigned failuresInRow);

    const GroupSettings* m_settings;
    /// Since when a majority has suspected the primary.
    std::optional<Instant> m_suspectedSince;
    Duration m_jitter {};
    Term m_highestTerm;
    /// Until when the attempt of another watcher is left to finish.
    Instant m_graceUntil {};
    unsigned m_failuresSeen { 0 };
    Instant m_backoffUntil {};
};

} // namespace Auburnpost::Group
