#include "group/ReplicationSupervisor.h"

namespace Auburnpost::Group {

namespace {

    bool needsFollow(const Member& member, const KnownPrimary& primary)
    {
        if (member.identity.target == primary.target || !member.lastStatus)
            return false;
        const auto& status = *member.lastStatus;
        if (status.fencedTerm > primary.term)
            return false;
        return status.role != TargetRole::Replica || status.fencedTerm < primary.term
            || member.following != primary.target;
    }

} // namespace

ReplicationSupervisor::ReplicationSupervisor(const GroupSettings& settings)
    : m_settings(&settings)
{
}

void ReplicationSupervisor::followAll(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    for (const auto& member : members.members()) {
        if (member.identity.target != members.primary()->target)
            send(now, outbox, *members.primary(), member.identity.target);
    }
}

void ReplicationSupervisor::tick(Instant now, CommandOutbox& outbox, const MemberTable& members, std::size_t rank)
{
    if (!members.primary())
        return;
    for (const auto& member : members.members()) {
        const auto& target = member.identity.target;
        if (!needsFollow(member, *members.primary())) {
            m_nextSendAt.erase(target);
            continue;
        }
        const auto first = now + m_settings->followInterval * static_cast<int>(rank);
        if (now >= m_nextSendAt.try_emplace(target, first).first->second)
            send(now, outbox, *members.primary(), target);
    }
}

void ReplicationSupervisor::send(
    Instant now, CommandOutbox& outbox, const KnownPrimary& primary, const TargetName& target)
{
    m_nextSendAt[target] = now + m_settings->followInterval;
    GroupCommand command;
    command.operation = GroupOperation::Follow;
    command.term = primary.term;
    command.primary = primary.target;
    outbox.send(now, target, command, CommandPurpose::Follow);
    // The command is repeated while a member is down; one log record in each term is enough.
    auto& loggedTerm = m_loggedTerm[target];
    if (loggedTerm == primary.term)
        return;
    loggedTerm = primary.term;
    outbox.log(LogEvent::FollowCommandSent,
        { { "target", target.value() }, { "primary", primary.target.value() },
            { "term", std::to_string(primary.term.value()) } });
}

} // namespace Auburnpost::Group
