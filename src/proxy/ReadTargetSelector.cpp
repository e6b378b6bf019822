#include "proxy/ReadTargetSelector.h"

#include <algorithm>

namespace Auburnpost::Proxy {

std::vector<ReadCandidate> ReadTargetSelector::rank(Instant now, const GroupWatcher& watcher, const Pools& pools,
    const std::set<TargetName>& avoided, const std::optional<LogPoint>& requiredLogPoint)
{
    std::vector<ReadCandidate> candidates;
    for (const auto& [name, member] : watcher.members()) {
        if (avoided.contains(name) || member.record.isLeaving || !member.isListed() || !member.status
            || member.health.isSuspect(now))
            continue;
        if (lacksLogPoint(now, watcher, member, requiredLogPoint))
            continue;
        candidates.push_back({ name, costOf(watcher, member, pools) });
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const ReadCandidate& left, const ReadCandidate& right) { return left.cost < right.cost; });
    return candidates;
}

bool ReadTargetSelector::lacksLogPoint(Instant now, const GroupWatcher& watcher, const GroupWatcher::Member& member,
    const std::optional<LogPoint>& requiredLogPoint)
{
    if (!requiredLogPoint || !member.applied || watcher.primary() == member.record.name)
        return false;
    return *member.applied < *requiredLogPoint && now - member.appliedCheckedAt < lagRetryInterval;
}

Duration ReadTargetSelector::costOf(const GroupWatcher& watcher, const GroupWatcher::Member& member, const Pools& pools)
{
    auto cost = member.health.roundTrip();
    std::size_t load = member.status->busy;
    if (const auto pool = pools.find(member.record.name); pool != pools.end())
        load = std::max(load, pool->second.count(ConnectionStage::Busy));
    if (load >= member.record.slots) {
        const auto ahead = static_cast<Duration::rep>(load + 1 - member.record.slots);
        cost += serviceTime * ahead / static_cast<Duration::rep>(member.record.slots);
    }
    if (watcher.primary() == member.record.name)
        cost += primaryPenalty;
    return cost;
}

} // namespace Auburnpost::Proxy
