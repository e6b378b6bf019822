#include "proxy/ReadTargetSelector.h"

#include <algorithm>

namespace Auburnpost::Proxy {

std::vector<ReadCandidate> ReadTargetSelector::rank(Instant now, const GroupWatcher& watcher, const Pools& pools,
    const std::set<TargetName>& avoided, const std::optional<LogPoint>& requiredLogPoint, RandomEngine& random)
{
    std::vector<ReadCandidate> candidates;
    std::vector<ReadCandidate> suspects;
    for (const auto& [name, member] : watcher.members()) {
        if (avoided.contains(name) || member.record.isLeaving || !member.isListed() || !member.status
            || member.health.isDown(now))
            continue;
        if (lacksLogPoint(now, watcher, member, requiredLogPoint))
            continue;
        auto& ranked = member.health.isSuspect(now) ? suspects : candidates;
        ranked.push_back({ name, costOf(now, watcher, member, pools, random) });
    }
    if (candidates.empty())
        candidates = std::move(suspects);
    std::sort(candidates.begin(), candidates.end(),
        [](const ReadCandidate& left, const ReadCandidate& right) { return left.cost < right.cost; });
    return candidates;
}

std::size_t ReadTargetSelector::unanswered(const ConnectionPool& pool)
{
    const auto& connections = pool.connections();
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(),
        [](const auto& entry) { return !entry.second.expectedReplies.empty(); }));
}

bool ReadTargetSelector::lacksLogPoint(Instant now, const GroupWatcher& watcher, const GroupWatcher::Member& member,
    const std::optional<LogPoint>& requiredLogPoint)
{
    if (!requiredLogPoint || !member.applied || watcher.primary() == member.record.name)
        return false;
    return *member.applied < *requiredLogPoint && now - member.appliedCheckedAt < lagRetryInterval;
}

Duration ReadTargetSelector::costOf(Instant now, const GroupWatcher& watcher, const GroupWatcher::Member& member,
    const Pools& pools, RandomEngine& random)
{
    const auto pool = pools.find(member.record.name);
    const auto own = pool == pools.end() ? 0 : unanswered(pool->second);
    const auto network = member.load.networkTime().value_or(member.health.roundTrip());
    auto cost = member.load.sampledTime(now, own, member.record.slots, network, random);
    if (watcher.primary() == member.record.name)
        cost += primaryPenalty;
    return cost;
}

} // namespace Auburnpost::Proxy
