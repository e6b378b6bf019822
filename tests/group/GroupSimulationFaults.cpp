#include "group/GroupSimulation.h"

namespace Auburnpost::Group {

using namespace std::chrono_literals;

void GroupSimulation::killTarget(std::size_t index)
{
    auto& node = *m_targets[index];
    node.isRunning = false;
    ++node.runNumber;
    node.waits.clear();
}

void GroupSimulation::restartTarget(std::size_t index)
{
    auto& node = *m_targets[index];
    if (node.isRunning)
        return;
    node.isRunning = true;
    node.target.restart();
}

void GroupSimulation::freezeTarget(std::size_t index, Duration duration)
{
    m_network.freeze(m_targets[index]->target.name().value(), m_queue.now() + duration);
}

void GroupSimulation::freezeWatcher(std::size_t index, Duration duration)
{
    m_network.freeze(m_watchers[index].name, m_queue.now() + duration);
}

void GroupSimulation::setSlow(std::size_t index, Duration delay)
{
    // Half of the delay applies to the command, half to the answer.
    m_network.extraDelay[m_targets[index]->target.name().value()] = delay / 2;
}

void GroupSimulation::cutTarget(std::size_t index, bool fromWatchers)
{
    const auto name = m_targets[index]->target.name().value();
    const auto cutBoth = [&](const std::string& other) {
        m_network.cut(name, other);
        m_network.cut(other, name);
    };
    for (const auto& other : m_targets)
        cutBoth(other->target.name().value());
    for (const auto& watcher : m_watchers) {
        if (fromWatchers || m_network.chance(0.5))
            cutBoth(watcher.name);
    }
}

void GroupSimulation::requestSwitchover(std::size_t index)
{
    for (std::size_t each = 0; each < m_watchers.size(); ++each) {
        auto& node = m_watchers[each];
        perform(each, node.watch->requestSwitchover(localTime(node), m_targets[index]->target.name()));
    }
}

void GroupSimulation::fenceAlone(std::size_t index)
{
    auto& target = m_targets[index]->target;
    target.fence(Term(target.targetStatus().fencedTerm.value() + 5), "stray");
}

bool GroupSimulation::holdsPrimaryTerm(std::size_t index) const
{
    const auto primary = primaryIndex();
    return primary && m_targets[index]->target.end().term == m_targets[*primary]->target.end().term;
}

void GroupSimulation::setLagOfAll(Duration lag)
{
    for (std::size_t index = 0; index < m_targets.size(); ++index)
        setLag(index, lag);
}

void GroupSimulation::killNextPrimary(Term after, Duration delay)
{
    const auto index = primaryIndex();
    if (!index || m_targets[*index]->target.end().term <= after) {
        if (m_queue.now() < m_faultsEndedAt)
            m_queue.after(5ms, [this, after, delay] { killNextPrimary(after, delay); });
        return;
    }
    m_queue.after(delay, [this, target = *index] {
        if (m_queue.now() < m_faultsEndedAt)
            killTarget(target);
        m_queue.after(m_network.between(1s, 3s), [this, target] { restartTarget(target); });
    });
}

void GroupSimulation::injectDoubleFault(std::size_t target)
{
    // The second failure occurs while the group still recovers from the first. After a quick restart the same target
    // is promoted again, with entries that no other member holds yet.
    const auto term = m_targets[target]->target.end().term;
    const auto isQuickRestart = m_network.chance(0.5);
    setLagOfAll(isQuickRestart ? m_network.between(300ms, 1500ms) : m_network.between(0ms, 400ms));
    const auto killAfter = m_network.between(10ms, 100ms);
    const auto downFor = isQuickRestart ? m_network.between(10ms, 100ms) : m_network.between(100ms, 400ms);
    m_queue.after(killAfter, [this, target] { killTarget(target); });
    m_queue.after(killAfter + downFor, [this, target] { restartTarget(target); });
    killNextPrimary(term, m_network.between(0ms, 400ms));
    m_queue.after(3s, [this] { setLagOfAll(0ms); });
}

void GroupSimulation::injectFault()
{
    const auto any = m_random() % m_targets.size();
    const auto target = m_network.chance(0.6) ? primaryIndex().value_or(any) : any;
    const auto watcher = m_random() % m_watchers.size();
    switch (m_random() % 11) {
    case 0:
    case 1:
        killTarget(target);
        m_queue.after(m_network.between(50ms, 3s), [this, target] { restartTarget(target); });
        break;
    case 2:
        freezeTarget(target, m_network.between(200ms, 2s));
        break;
    case 3:
        cutTarget(target, m_network.chance(0.3));
        m_queue.after(m_network.between(100ms, 3s), [this] { healNetwork(); });
        break;
    case 4:
        freezeWatcher(watcher, m_network.between(200ms, 2s));
        break;
    case 5:
        ++m_watchers[watcher].incarnation;
        startWatch(m_watchers[watcher]);
        break;
    case 6:
        setLag(any, m_network.between(0ms, 1s));
        break;
    case 7:
        setSlow(any, m_network.between(0ms, 600ms));
        break;
    case 8:
        requestSwitchover(any);
        break;
    case 9:
    case 10:
        injectDoubleFault(target);
        break;
    }
}

void GroupSimulation::healAll()
{
    m_faultsEndedAt = m_queue.now();
    healNetwork();
    m_network.lossProbability = 0;
    m_network.duplicateProbability = 0;
    m_network.lateProbability = 0;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        restartTarget(index);
        setLag(index, 0ms);
        setSlow(index, 0ms);
        freezeTarget(index, 0ms);
    }
    for (std::size_t index = 0; index < m_watchers.size(); ++index)
        freezeWatcher(index, 0ms);
}

} // namespace Auburnpost::Group
