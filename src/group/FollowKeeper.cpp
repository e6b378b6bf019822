#include "group/FollowKeeper.h"

namespace Auburnpost::Group {

namespace {

    bool isAstray(const Member& member, const KnownPrimary& primary)
    {
        if (member.identity.target == primary.target || !member.standing)
            return false;
        const auto& standing = *member.standing;
        if (standing.fencedTerm > primary.term)
            return false;
        return standing.role != TargetRole::Replica || standing.fencedTerm < primary.term
            || member.following != primary.target;
    }

} // namespace

FollowKeeper::FollowKeeper(const GroupSettings& settings)
    : m_settings(&settings)
{
}

void FollowKeeper::followAll(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    for (const auto& member : members.members()) {
        if (member.identity.target != members.primary()->target)
            send(now, outbox, *members.primary(), member.identity.target);
    }
}

void FollowKeeper::tick(Instant now, CommandOutbox& outbox, const MemberTable& members, std::size_t rank)
{
    if (!members.primary())
        return;
    for (const auto& member : members.members()) {
        const auto& target = member.identity.target;
        if (!isAstray(member, *members.primary())) {
            m_nextAt.erase(target);
            continue;
        }
        const auto first = now + m_settings->followInterval * static_cast<int>(rank);
        if (now >= m_nextAt.try_emplace(target, first).first->second)
            send(now, outbox, *members.primary(), target);
    }
}

void FollowKeeper::send(Instant now, CommandOutbox& outbox, const KnownPrimary& primary, const TargetName& target)
{
    m_nextAt[target] = now + m_settings->followInterval;
    GroupCommand command;
    command.operation = GroupOperation::Follow;
    command.term = primary.term;
    command.primary = primary.target;
    outbox.send(now, target, command, CommandPurpose::Follow);
    // A member that is down is told again and again; once in each term is enough for the log.
    auto& logged = m_loggedTerm[target];
    if (logged == primary.term)
        return;
    logged = primary.term;
    outbox.log(LogEvent::TargetFollows,
        { { "target", target.value() }, { "primary", primary.target.value() },
            { "term", std::to_string(primary.term.value()) } });
}

} // namespace Auburnpost::Group
