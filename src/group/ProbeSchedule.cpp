#include "group/ProbeSchedule.h"

#include <algorithm>

namespace Auburnpost::Group {

namespace {

    /// Maximum number of unanswered probes of one target, so that a slow target is still probed and an unresponsive one
    /// is not flooded.
    constexpr std::size_t inFlightLimit = 8;

} // namespace

ProbeSchedule::ProbeSchedule(const GroupSettings& settings)
    : m_settings(&settings)
{
}

void ProbeSchedule::tick(Instant now, CommandOutbox& outbox, const MemberTable& members)
{
    for (const auto& member : members.members()) {
        const auto& target = member.identity.target;
        const auto next = m_nextAt.find(target);
        if (next != m_nextAt.end() && now < next->second)
            continue;
        m_nextAt[target] = now + m_settings->probeInterval;
        if (outbox.inFlight(target, CommandPurpose::Probe) < inFlightLimit)
            outbox.send(now, target, GroupCommand {}, CommandPurpose::Probe);
    }
}

void ProbeSchedule::retrySoon(Instant now, const TargetName& target)
{
    const auto retryAt = now + m_settings->failedProbeInterval;
    auto& next = m_nextAt.try_emplace(target, retryAt).first->second;
    next = std::min(next, retryAt);
}

} // namespace Auburnpost::Group
