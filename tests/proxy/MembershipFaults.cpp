#include "proxy/MembershipFaults.h"

#include "proxy/ProxySimulation.h"

#include <algorithm>
#include <array>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    /// Numbers of targets that stay, between which targets join and leave.
    constexpr std::size_t minTargets = 3;
    constexpr std::size_t maxTargets = 5;
    constexpr Duration minLength = 200ms;
    constexpr Duration maxLength = 4s;
    /// Time for the hosts to follow a change of the table and for the targets to report again.
    constexpr Duration followTime = 1s;
    /// Time between the restarts of two hosts.
    constexpr Duration restartInterval = 500ms;

} // namespace

MembershipFaults::MembershipFaults(ProxySimulation& simulation)
    : m_simulation(simulation)
{
}

void MembershipFaults::inject()
{
    constexpr std::array<Fault, 20> faults { &MembershipFaults::joinTarget, &MembershipFaults::leaveTarget,
        &MembershipFaults::leavePrimary, &MembershipFaults::releaseAll, &MembershipFaults::lapseRecord,
        &MembershipFaults::slowStore, &MembershipFaults::refuseHost, &MembershipFaults::isolateHost,
        &MembershipFaults::restartHost, &MembershipFaults::pauseHost, &MembershipFaults::crashTarget,
        &MembershipFaults::crashPrimary, &MembershipFaults::cutPrimaryFromHosts,
        &MembershipFaults::cutPrimaryFromTargets, &MembershipFaults::cutTarget, &MembershipFaults::replacePrimary,
        &MembershipFaults::cutPrimaryAsTargetEnds, &MembershipFaults::crashPrimaryWithLateOrder,
        &MembershipFaults::switchPrimaryBehindHost, &MembershipFaults::restartHostsWithoutRecord };
    constexpr int maxAttempts = 20;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto fault = faults.at(m_simulation.random()() % faults.size());
        if ((this->*fault)(m_simulation.between(minLength, maxLength)))
            return;
    }
}

std::optional<TargetName> MembershipFaults::primary() const
{
    const auto* const primary = m_simulation.currentPrimary();
    return primary ? std::optional(primary->record.name) : std::nullopt;
}

std::optional<TargetName> MembershipFaults::randomReplica()
{
    auto names = m_simulation.membership().staying();
    std::erase(names, primary().value_or(TargetName {}));
    if (names.empty())
        return {};
    return names.at(m_simulation.random()() % names.size());
}

std::size_t MembershipFaults::randomHost()
{
    return m_simulation.random()() % ProxySimulation::hostCount;
}

Duration MembershipFaults::recordDelay()
{
    return m_simulation.chance(0.5) ? m_simulation.between(50ms, 300ms) : m_simulation.between(300ms, 3s);
}

bool MembershipFaults::isPrimaryHidden() const
{
    return m_simulation.now() < m_hidesPrimaryUntil || !primary() || m_simulation.orders().outstanding() > 0;
}

bool MembershipFaults::mayHideMember() const
{
    return !isPrimaryHidden();
}

bool MembershipFaults::mayHidePrimary() const
{
    const bool isHidden = m_simulation.now() < m_hidesMemberUntil || m_simulation.now() < m_releasingUntil
        || m_simulation.membership().hasUnlistedTarget();
    // A host that was started again does not know of a target that left before.
    return !isHidden && primary() && m_simulation.membership().isDispensable(*primary());
}

bool MembershipFaults::joinTarget(Duration)
{
    if (!mayHideMember() || m_simulation.membership().staying().size() >= maxTargets)
        return false;
    const auto delay = recordDelay();
    m_hidesMemberUntil = m_simulation.now() + delay + followTime;
    m_simulation.membership().join(delay);
    return true;
}

bool MembershipFaults::leaveTarget(Duration length)
{
    const auto replica = randomReplica();
    if (!replica || m_simulation.membership().staying().size() <= minTargets)
        return false;
    m_simulation.membership().leave(*replica, SimulatedMembership::drain + length / 4);
    return true;
}

bool MembershipFaults::leavePrimary(Duration length)
{
    if (!primary() || m_simulation.target(*primary())->record.isLeaving
        || m_simulation.membership().staying().size() <= minTargets)
        return false;
    m_simulation.membership().leave(*primary(), SimulatedMembership::drain + length / 4);
    return true;
}

bool MembershipFaults::releaseAll(Duration)
{
    const auto targets = m_simulation.membership().staying();
    if (!mayHideMember() || m_simulation.now() < m_releasingUntil || targets.size() > minTargets)
        return false;
    const auto delay = recordDelay();
    const auto lengthOfOne = delay + SimulatedMembership::drain + followTime;
    m_releasingUntil = m_simulation.now() + static_cast<Duration::rep>(targets.size()) * lengthOfOne;
    m_simulation.membership().release(targets, delay);
    return true;
}

bool MembershipFaults::lapseRecord(Duration length)
{
    const auto replica = randomReplica();
    if (!replica || !mayHideMember())
        return false;
    const auto lapse = SimulatedMembership::lapseTimeout + 2 * length;
    m_hidesMemberUntil = m_simulation.now() + lapse + followTime;
    m_simulation.membership().cutFromStore(*replica, lapse);
    return true;
}

bool MembershipFaults::slowStore(Duration length)
{
    m_simulation.store().setDelay(m_simulation.between(100ms, 1200ms));
    m_simulation.after(length, [this] { m_simulation.store().setDelay({}); });
    return true;
}

bool MembershipFaults::refuseHost(Duration length)
{
    m_simulation.store().cutHost(randomHost(), m_simulation.now() + 2 * length);
    return true;
}

bool MembershipFaults::isolateHost(Duration length)
{
    m_simulation.isolateHost(randomHost(), 2 * length);
    return true;
}

bool MembershipFaults::mayRestart(std::size_t host) const
{
    // A host that is being started again can't be killed once more.
    return !m_simulation.isHostPaused(host) && !isPrimaryHidden()
        && m_simulation.membership().isDispensable(*primary());
}

bool MembershipFaults::restartHost(Duration length)
{
    const auto host = randomHost();
    if (!mayRestart(host))
        return false;
    m_simulation.restartHost(host, length / 4);
    return true;
}

bool MembershipFaults::pauseHost(Duration length)
{
    const auto host = randomHost();
    if (m_simulation.isHostPaused(host))
        return false;
    m_simulation.pauseHost(host, length);
    return true;
}

bool MembershipFaults::crashTarget(Duration length)
{
    const auto replica = randomReplica();
    if (!replica || m_simulation.membership().isCrashed() || !mayHideMember())
        return false;
    m_hidesMemberUntil = m_simulation.now() + length + followTime;
    m_simulation.membership().crash(*replica, length, m_simulation.chance(0.5));
    return true;
}

bool MembershipFaults::crashPrimary(Duration length)
{
    if (m_simulation.membership().isCrashed() || !mayHidePrimary())
        return false;
    m_hidesPrimaryUntil = m_simulation.now() + length + followTime;
    m_simulation.membership().crash(*primary(), length, m_simulation.chance(0.5));
    return true;
}

bool MembershipFaults::cutPrimaryFromHosts(Duration length)
{
    if (!mayHidePrimary())
        return false;
    m_hidesPrimaryUntil = m_simulation.now() + length + followTime;
    for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host) {
        if (!m_simulation.chance(0.7))
            continue;
        m_simulation.setHostCut(host, *primary(), true);
        m_simulation.after(length, [this, host, name = *primary()] { m_simulation.setHostCut(host, name, false); });
    }
    return true;
}

void MembershipFaults::cutFromTargets(const TargetName& name, Duration length, double share)
{
    for (const auto& [other, target] : m_simulation.targets()) {
        if (other == name || target.isGone || !m_simulation.chance(share))
            continue;
        m_simulation.setCut(name, other, true);
        m_simulation.after(length, [this, name, cut = other] { m_simulation.setCut(name, cut, false); });
    }
}

bool MembershipFaults::cutPrimaryFromTargets(Duration length)
{
    if (!primary())
        return false;
    cutFromTargets(*primary(), length);
    return true;
}

bool MembershipFaults::cutTarget(Duration length)
{
    const auto replica = randomReplica();
    if (!replica)
        return false;
    cutFromTargets(*replica, length);
    return true;
}

bool MembershipFaults::replacePrimary(Duration)
{
    if (!mayHideMember() || m_simulation.target(*primary())->record.isLeaving)
        return false;
    const auto delay = recordDelay();
    m_hidesMemberUntil = m_simulation.now() + delay + followTime;
    m_simulation.membership().leave(*primary());
    m_simulation.after(m_simulation.between(0ms, 500ms), [this, delay] { m_simulation.membership().join(delay); });
    return true;
}

bool MembershipFaults::cutPrimaryAsTargetEnds(Duration length)
{
    const auto replica = randomReplica();
    if (!replica || !primary() || m_simulation.membership().staying().size() <= minTargets)
        return false;
    m_simulation.membership().leave(*replica);
    m_simulation.after(SimulatedMembership::drain - m_simulation.between(0ms, 3s), [this, leaving = *replica, length] {
        if (!primary())
            return;
        cutFromTargets(*primary(), length, 1);
        m_simulation.setCut(*primary(), leaving, false);
    });
    return true;
}

bool MembershipFaults::crashPrimaryWithLateOrder(Duration length)
{
    const auto name = primary();
    if (!crashPrimary(length))
        return false;
    m_simulation.orders().set({ m_simulation.between(2s, 6s), m_simulation.chance(0.7) });
    if (m_simulation.chance(0.6))
        m_simulation.onNextPromotionCall([this, length](std::size_t host) {
            if (m_simulation.chance(0.5))
                m_simulation.pauseHost(host, 3 * length);
            else
                m_simulation.restartHost(host, length / 4);
        });
    m_simulation.after(1s, [this, name = *name, length] { cutFromTargets(name, 2 * length, 0.5); });
    return true;
}

bool MembershipFaults::switchPrimaryBehindHost(Duration length)
{
    constexpr Duration cutLength = 2s;
    if (!mayHideMember() || m_simulation.target(*primary())->record.isLeaving
        || m_simulation.membership().staying().size() > minTargets)
        return false;
    const auto replicas = m_simulation.membership().staying();
    const auto old = *primary();
    m_simulation.isolateHost(randomHost(), 4s + length);
    m_simulation.membership().join(100ms);
    m_simulation.membership().join(100ms);
    m_hidesMemberUntil = m_simulation.now() + cutLength + followTime;
    // The new targets have the longest logs when the primary is replaced.
    for (const auto& replica : replicas) {
        if (replica == old)
            continue;
        m_simulation.after(1s, [this, old, replica] { m_simulation.setCut(old, replica, true); });
        m_simulation.after(1s + cutLength, [this, old, replica] { m_simulation.setCut(old, replica, false); });
    }
    m_simulation.after(1200ms, [this, old] { m_simulation.membership().leave(old); });
    return true;
}

bool MembershipFaults::restartHostsWithoutRecord(Duration length)
{
    if (!mayHideMember() || m_simulation.target(*primary())->record.isLeaving || !lapseRecord(length))
        return false;
    auto delay = SimulatedMembership::lapseTimeout + restartInterval;
    for (std::size_t host = 0; host < ProxySimulation::hostCount; ++host) {
        m_simulation.after(delay, [this, host] {
            if (mayRestart(host))
                m_simulation.restartHost(host, restartInterval / 2);
        });
        delay += restartInterval;
    }
    m_simulation.after(delay, [this] {
        if (primary())
            m_simulation.membership().leave(*primary());
    });
    return true;
}

} // namespace Auburnpost::Proxy
