#include "group/ReadConfirmations.h"

namespace Auburnpost::Group {

void ReadConfirmations::await(
    Instant now, CommandOutbox& outbox, const MemberTable& members, ConfirmId id, Instant deadline)
{
    m_waits.push_back({ id, deadline, outbox.next() });
    ask(now, outbox, members);
}

void ReadConfirmations::answered(Instant now, CommandOutbox& outbox, const MemberTable& members,
    const PendingCommand& pending, const GroupStatus& status, bool open)
{
    auto& evidence = m_evidence[pending.target];
    if (pending.correlation > evidence.correlation)
        evidence = { pending.correlation, status.fencedTerm, status.role, status.end };
    settle(outbox, members, open);
    ask(now, outbox, members);
}

void ReadConfirmations::tick(Instant now, CommandOutbox& outbox, const MemberTable& members, bool open)
{
    settle(outbox, members, open);
    std::erase_if(m_waits, [&](const Wait& wait) {
        if (now < wait.deadline)
            return false;
        outbox.push(NotConfirmed { wait.id, NoProofReason::DeadlineExceeded });
        return true;
    });
    ask(now, outbox, members);
}

void ReadConfirmations::ask(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    if (m_waits.empty())
        return;
    const auto newest = m_waits.back().firstAfter;
    for (const auto& member : members.members()) {
        const auto& target = member.identity.target;
        const auto answered = m_evidence.find(target);
        if (answered != m_evidence.end() && answered->second.correlation >= newest)
            continue;
        // One at a time: reads that arrive meanwhile share the next.
        if (outbox.inFlight(target, CommandPurpose::Confirm) > 0)
            continue;
        outbox.send(now, target, GroupCommand {}, CommandPurpose::Confirm);
    }
}

void ReadConfirmations::settle(CommandOutbox& outbox, const MemberTable& members, bool open)
{
    if (!open)
        return;
    std::erase_if(m_waits, [&](const Wait& wait) {
        const auto* const primary = proofFor(wait, members);
        if (!primary)
            return false;
        outbox.push(Confirmed { wait.id, members.primaryTerm(), primary->end });
        return true;
    });
}

const ReadConfirmations::Evidence* ReadConfirmations::proofFor(const Wait& wait, const MemberTable& members) const
{
    const auto term = members.primaryTerm();
    const Evidence* primary = nullptr;
    std::size_t unfenced = 0;
    for (const auto& member : members.members()) {
        const auto found = m_evidence.find(member.identity.target);
        if (found == m_evidence.end() || found->second.correlation < wait.firstAfter || found->second.fencedTerm > term)
            continue;
        ++unfenced;
        if (member.identity.target == members.primary()->target && found->second.role == TargetRole::Primary)
            primary = &found->second;
    }
    return unfenced >= members.majority() ? primary : nullptr;
}

} // namespace Auburnpost::Group
