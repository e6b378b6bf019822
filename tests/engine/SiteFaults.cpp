// The faults that are injected into the simulated site.
#include "engine/SiteSimulation.h"

namespace Auburnpost {

using namespace std::chrono_literals;

void SiteSimulation::killTarget(std::size_t index)
{
    auto& node = *m_targets[index];
    if (!node.alive)
        return;
    dropLinks(index);
    node.alive = false;
    ++node.generation;
    node.target.restart();
}

void SiteSimulation::killPrimary()
{
    if (const auto primary = primaryIndex())
        killTarget(*primary);
}

void SiteSimulation::restartTarget(std::size_t index)
{
    m_targets[index]->alive = true;
}

void SiteSimulation::freezeTarget(std::size_t index, Duration duration)
{
    m_network.freeze(m_targets[index]->target.name().value(), m_queue.now() + duration);
}

void SiteSimulation::cutTarget(std::size_t index, bool fromHosts, bool fromTargets)
{
    for (std::size_t host = 0; fromHosts && host < m_hosts.size(); ++host) {
        // Some hosts still reach the target.
        if (m_network.chance(0.7))
            m_hostTargetCuts.insert({ host, index });
    }
    for (std::size_t other = 0; fromTargets && other < m_targets.size(); ++other) {
        m_targetCuts.insert({ index, other });
        m_targetCuts.insert({ other, index });
    }
}

void SiteSimulation::isolate(std::size_t host, std::size_t target)
{
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        if (other == host)
            continue;
        m_hostTargetCuts.insert({ other, target });
        m_network.cut(m_hosts[host].name, m_hosts[other].name);
        m_network.cut(m_hosts[other].name, m_hosts[host].name);
    }
    for (std::size_t other = 0; other < targetCount; ++other) {
        if (other == target)
            continue;
        m_hostTargetCuts.insert({ host, other });
        m_targetCuts.insert({ target, other });
        m_targetCuts.insert({ other, target });
    }
}

void SiteSimulation::killHost(std::size_t index)
{
    auto& node = m_hosts[index];
    if (!node.engine)
        return;
    for (const auto& [connection, link] : node.links) {
        if (link.open)
            m_targets[link.target]->target.disconnect(ConnectionId(index * 1000000 + connection.value()));
    }
    node.links.clear();
    node.engine.reset();
    ++node.generation;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        if (entry->first.first != index) {
            ++entry;
            continue;
        }
        // The caller's connection is reset during the request.
        m_queue.after(1ms, [this, job = entry->second] { handleJobFailure(job, true); });
        entry = m_jobs.erase(entry);
    }
}

void SiteSimulation::restartHost(std::size_t index)
{
    if (!m_hosts[index].engine)
        startHost(index);
}

void SiteSimulation::freezeHost(std::size_t index, Duration duration)
{
    m_network.freeze(m_hosts[index].name, m_queue.now() + duration);
}

void SiteSimulation::stopHost(std::size_t index)
{
    post(index, ShutdownRequested {});
}

void SiteSimulation::injectRandomFault()
{
    const auto target = std::uniform_int_distribution<std::size_t>(0, targetCount - 1)(m_random);
    const auto host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random);
    const auto victim = m_network.chance(0.6) ? primaryIndex().value_or(target) : target;
    switch (std::uniform_int_distribution<int>(0, 11)(m_random)) {
    case 0:
    case 1:
        killTarget(victim);
        m_queue.after(m_network.between(200ms, 3s), [this, victim] { restartTarget(victim); });
        break;
    case 2:
    case 3:
        freezeTarget(victim, m_network.between(300ms, 3s));
        break;
    case 4:
        cutTarget(victim, m_network.chance(0.8), m_network.chance(0.6));
        m_queue.after(m_network.between(500ms, 3s), [this] {
            m_hostTargetCuts.clear();
            m_targetCuts.clear();
        });
        break;
    case 5:
        killHost(host);
        m_queue.after(m_network.between(300ms, 3s), [this, host] { restartHost(host); });
        break;
    case 6:
        freezeHost(host, m_network.between(200ms, 3s));
        break;
    case 7:
        m_network.cut(m_hosts[host].name, m_hosts[(host + 1) % m_hosts.size()].name);
        m_network.cut(m_hosts[(host + 1) % m_hosts.size()].name, m_hosts[host].name);
        break;
    case 9:
    case 10:
        dropAnswers(0.2, m_network.between(200ms, 2s));
        break;
    case 8:
        m_targets[target]->lag = m_network.between(0ms, 800ms);
        break;
    default:
        m_isPlatformDown = !m_isPlatformDown;
        m_network.lossProbability = m_network.lossProbability > 0 ? 0 : 0.05;
        break;
    }
}

void SiteSimulation::dropAnswers(double share, Duration duration)
{
    m_answerLossShare = share;
    m_answerLossEnd = m_queue.now() + duration;
}

void SiteSimulation::healAll()
{
    m_answerLossShare = 0;
    m_network.heal();
    m_network.lossProbability = 0;
    m_hostTargetCuts.clear();
    m_targetCuts.clear();
    m_isPlatformDown = false;
    for (std::size_t index = 0; index < targetCount; ++index) {
        restartTarget(index);
        freezeTarget(index, 0us);
        m_targets[index]->lag = m_options.replicationLag;
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        freezeHost(index, 0us);
        if (!m_hosts[index].exitStatus)
            restartHost(index);
    }
}

void SiteSimulation::finish()
{
    m_callersActive = false;
    run(15s);
    const auto primary = primaryIndex();
    if (!primary) {
        m_checker.fail("there is no primary after every fault has ended");
        return;
    }
    m_checker.checkLog(m_targets[*primary]->target.factCounts());
}

} // namespace Auburnpost
