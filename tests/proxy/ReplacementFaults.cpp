#include "proxy/ReplacementFaults.h"

#include "proxy/ProxySimulation.h"

#include <array>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t minTargets = 3;
    constexpr std::size_t maxTargets = 6;
    constexpr Duration minLength = 200ms;
    constexpr Duration maxLength = 4s;
    /// Time for the hosts to follow a change of the table and for the targets to report again.
    constexpr Duration followTime = 1s;

} // namespace

ReplacementFaults::ReplacementFaults(ProxySimulation& simulation)
    : m_simulation(simulation)
    , m_others(simulation)
{
}

void ReplacementFaults::inject()
{
    constexpr std::array<Fault, 6> faults { &ReplacementFaults::replaceTargets,
        &ReplacementFaults::crashPrimaryAndReplaceTargets, &ReplacementFaults::pauseSwitchHolder,
        &ReplacementFaults::keepList, &ReplacementFaults::cutHostsAsTargetJoins,
        &ReplacementFaults::leaveHostWithOldPrimary };
    const auto fault = faults.at(m_simulation.random()() % faults.size());
    if (m_simulation.chance(0.5) || !(this->*fault)(m_simulation.between(minLength, maxLength)))
        m_others.inject();
}

void ReplacementFaults::replaceNext(int count, Duration interval)
{
    const auto staying = m_simulation.membership().staying();
    if (count == 0 || staying.size() < minTargets)
        return;
    if (staying.size() < maxTargets)
        m_simulation.membership().join(m_simulation.between(50ms, 500ms));
    const auto& leaving = staying.at(m_simulation.random()() % staying.size());
    m_simulation.membership().leave(leaving, m_simulation.between(1s, 4s));
    m_simulation.after(interval, [this, count, interval] { replaceNext(count - 1, interval); });
}

bool ReplacementFaults::replaceTargets(Duration length)
{
    m_others.hideMember(m_simulation.now() + 2 * length + followTime);
    replaceNext(2, length);
    return true;
}

bool ReplacementFaults::crashPrimaryAndReplaceTargets(Duration length)
{
    const auto name = m_others.primary();
    const auto& membership = m_simulation.membership();
    if (!name || membership.isCrashed() || membership.hasUnlistedTarget() || !membership.isDispensable(*name))
        return false;
    m_simulation.membership().crash(*name, length, m_simulation.chance(0.5));
    m_others.hideMember(m_simulation.now() + length + followTime);
    m_simulation.after(500ms, [this, length] { replaceNext(2, length / 2); });
    return true;
}

bool ReplacementFaults::pauseSwitchHolder(Duration length)
{
    const auto name = m_others.primary();
    if (!name || m_simulation.target(*name)->record.isLeaving
        || m_simulation.membership().staying().size() <= minTargets)
        return false;
    m_simulation.membership().leave(*name);
    const bool isReplacing = m_simulation.chance(0.6);
    m_simulation.onNextDemotion([this, length, isReplacing](std::size_t host) {
        m_simulation.pauseHost(host, 1s + length);
        if (isReplacing)
            replaceNext(2, length / 2);
    });
    return true;
}

void ReplacementFaults::stopRelaying(Duration length)
{
    if (!m_simulation.isRelaying() || m_simulation.chance(0.3))
        return;
    m_simulation.setRelaying(false);
    m_simulation.after(length, [this] { m_simulation.setRelaying(true); });
}

bool ReplacementFaults::keepList(Duration length)
{
    m_simulation.keepList(m_others.randomHost(), 2 * length);
    return true;
}

bool ReplacementFaults::cutHostsAsTargetJoins(Duration length)
{
    const auto name = m_others.primary();
    if (!name || m_simulation.membership().staying().size() >= maxTargets)
        return false;
    const auto delay = m_others.recordDelay();
    m_others.hideMember(m_simulation.now() + delay + followTime);
    stopRelaying(length);
    const auto spared = m_others.randomHost();
    for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host) {
        if (host == spared)
            continue;
        m_simulation.setHostCut(host, *name, true);
        m_simulation.after(length, [this, host, name = *name] { m_simulation.setHostCut(host, name, false); });
    }
    if (m_simulation.chance(0.5))
        m_others.cutFromTargets(*name, length);
    m_simulation.membership().join(delay);
    return true;
}

bool ReplacementFaults::leaveHostWithOldPrimary(Duration length)
{
    const auto name = m_others.primary();
    if (!name)
        return false;
    stopRelaying(length);
    const auto spared = m_others.randomHost();
    for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host) {
        for (const auto& replica : m_simulation.membership().staying()) {
            if ((host == spared) == (replica == *name))
                continue;
            m_simulation.setHostCut(host, replica, true);
            m_simulation.after(length, [this, host, replica] { m_simulation.setHostCut(host, replica, false); });
        }
    }
    m_others.cutFromTargets(*name, length, 1);
    return true;
}

} // namespace Auburnpost::Proxy
