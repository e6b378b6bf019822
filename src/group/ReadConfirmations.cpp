#include "group/ReadConfirmations.h"

namespace Auburnpost::Group {

void ReadConfirmations::add(
    Instant now, CommandOutbox& outbox, const MemberTable& members, ConfirmationId id, Instant deadline)
{
    m_waits.push_back({ id, deadline, outbox.nextCorrelation() });
    sendCommands(now, outbox, members);
}

void ReadConfirmations::handleAnswer(Instant now, CommandOutbox& outbox, const MemberTable& members,
    const PendingCommand& pending, const GroupStatus& status, bool open)
{
    auto& memberAnswer = m_answers[pending.target];
    if (pending.correlation > memberAnswer.correlation)
        memberAnswer = { pending.correlation, status.fencedTerm, status.role, status.end };
    endConfirmed(outbox, members, open);
    sendCommands(now, outbox, members);
}

void ReadConfirmations::tick(Instant now, CommandOutbox& outbox, const MemberTable& members, bool open)
{
    endConfirmed(outbox, members, open);
    std::erase_if(m_waits, [&](const Wait& wait) {
        if (now < wait.deadline)
            return false;
        outbox.push(NotConfirmed { wait.id, WaitFailureReason::DeadlineExceeded });
        return true;
    });
    sendCommands(now, outbox, members);
}

void ReadConfirmations::sendCommands(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    if (m_waits.empty())
        return;
    const auto newest = m_waits.back().firstCorrelation;
    for (const auto& member : members.members()) {
        const auto& target = member.identity.target;
        const auto latest = m_answers.find(target);
        if (latest != m_answers.end() && latest->second.correlation >= newest)
            continue;
        // One command at a time: reads that arrive in the meantime share the next one.
        if (outbox.inFlight(target, CommandPurpose::Confirm) > 0)
            continue;
        outbox.send(now, target, GroupCommand {}, CommandPurpose::Confirm);
    }
}

void ReadConfirmations::endConfirmed(CommandOutbox& outbox, const MemberTable& members, bool open)
{
    if (!open)
        return;
    std::erase_if(m_waits, [&](const Wait& wait) {
        const auto* const primaryAnswer = confirmingAnswer(wait, members);
        if (!primaryAnswer)
            return false;
        outbox.push(Confirmed { wait.id, members.primaryTerm(), primaryAnswer->end });
        return true;
    });
}

const ReadConfirmations::MemberAnswer* ReadConfirmations::confirmingAnswer(
    const Wait& wait, const MemberTable& members) const
{
    const auto term = members.primaryTerm();
    const MemberAnswer* primaryAnswer = nullptr;
    std::size_t unfenced = 0;
    for (const auto& member : members.members()) {
        const auto found = m_answers.find(member.identity.target);
        if (found == m_answers.end() || found->second.correlation < wait.firstCorrelation
            || found->second.fencedTerm > term)
            continue;
        ++unfenced;
        if (member.identity.target == members.primary()->target && found->second.role == TargetRole::Primary)
            primaryAnswer = &found->second;
    }
    return unfenced >= members.majority() ? primaryAnswer : nullptr;
}

} // namespace Auburnpost::Group
