#include "group/VoteSender.h"

namespace Auburnpost::Group {

VoteSender::VoteSender(HostName self, Incarnation incarnation, const GroupSettings& settings)
    : m_self(std::move(self))
    , m_settings(&settings)
{
    m_vote.incarnation = incarnation;
}

void VoteSender::castIfDue(
    Instant now, CommandOutbox& outbox, VoteTable& votes, const std::optional<KnownPrimary>& primary, bool suspects)
{
    const auto known = primary.value_or(KnownPrimary {});
    const auto hasChanged = suspects != m_vote.suspects || known.term != m_vote.term;
    const auto isRepeatDue = suspects && now - m_castAt >= m_settings->voteInterval;
    if (!votes.isWatcher() || (!hasChanged && !isRepeatDue))
        return;
    m_vote.term = known.term;
    m_vote.primary = known.target;
    m_vote.suspects = suspects;
    ++m_vote.sequence;
    m_castAt = now;
    votes.record(now, m_self, m_vote);
    for (const auto& watcher : votes.watchers()) {
        if (watcher != m_self)
            outbox.push(SendVote { watcher, m_vote });
    }
}

} // namespace Auburnpost::Group
