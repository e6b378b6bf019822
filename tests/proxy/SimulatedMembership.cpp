#include "proxy/SimulatedMembership.h"

#include "proxy/ProxySimulation.h"

#include <algorithm>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    /// Interval at which a step that has to wait is tried again.
    constexpr Duration checkInterval = 500ms;

} // namespace

SimulatedMembership::SimulatedMembership(ProxySimulation& simulation)
    : m_simulation(simulation)
{
}

TargetName SimulatedMembership::join(Duration recordDelay)
{
    const auto number = ProxySimulation::targetCount + m_joined++;
    const TargetName name("t" + std::to_string(number));
    m_simulation.addTarget(name, number);
    m_reports[name].startAt = m_simulation.now() + recordDelay;
    m_simulation.trace("start of " + name.value());
    return name;
}

void SimulatedMembership::leave(const TargetName& name, Duration drainTime)
{
    m_simulation.target(name)->record.isLeaving = true;
    m_reports[name].drain = drainTime;
    m_simulation.trace("leaving: " + name.value());
}

void SimulatedMembership::release(std::vector<TargetName> names, Duration recordDelay, Duration drainTime)
{
    const auto running = staying();
    std::erase_if(names, [&running](const TargetName& name) { return !std::ranges::count(running, name); });
    if (names.empty())
        return;
    const auto old = names.back();
    names.pop_back();
    join(recordDelay);
    m_simulation.after(recordDelay + checkInterval, [this, old, names, recordDelay, drainTime] {
        if (!m_simulation.target(old)->isGone)
            leave(old, drainTime);
        m_simulation.after(drainTime + checkInterval,
            [this, names, recordDelay, drainTime] { release(names, recordDelay, drainTime); });
    });
}

void SimulatedMembership::cutFromStore(const TargetName& name, Duration length)
{
    m_reports[name].cutUntil = m_simulation.now() + length;
    m_simulation.trace("cut from the store: " + name.value());
}

void SimulatedMembership::crash(const TargetName& name, Duration length, bool isRenamed)
{
    m_simulation.target(name)->crash();
    m_simulation.trace("crash of " + name.value());
    m_simulation.after(length, [this, name, isRenamed] { restart(name, isRenamed); });
}

void SimulatedMembership::restart(const TargetName& name, bool isRenamed)
{
    auto& former = *m_simulation.target(name);
    auto& target = isRenamed
        ? m_simulation.renameTarget(name, TargetName(name.value() + "-" + std::to_string(++m_renamed)))
        : former;
    target.isRunning = true;
    if (m_simulation.promotedTerm() > target.term)
        target.isPrimary = false;
    m_simulation.trace("restart of " + name.value());
}

void SimulatedMembership::end(const TargetName& name)
{
    // A target takes longer to leave as long as its end would take the last log with an acknowledged commit that hosts
    // can know of: no rule could keep that commit.
    if (!isDispensable(name)) {
        m_simulation.after(checkInterval, [this, name] { end(name); });
        return;
    }
    m_simulation.target(name)->end();
    if (m_simulation.store().find(name))
        m_simulation.store().remove(name);
    m_simulation.trace("end of " + name.value());
}

void SimulatedMembership::update()
{
    auto& store = m_simulation.store();
    const auto now = m_simulation.now();
    for (const auto& [name, target] : m_simulation.targets()) {
        auto& reports = m_reports[name];
        if (target.isRunning && store.isAnswering() && now >= reports.cutUntil) {
            reports.silentSince.reset();
            report(name, target, reports);
            continue;
        }
        if (!reports.silentSince)
            reports.silentSince = now;
        if (store.find(name) && now - *reports.silentSince >= lapseTimeout) {
            store.remove(name);
            m_simulation.trace("record lapsed: " + name.value());
        }
    }
}

void SimulatedMembership::report(const TargetName& name, const FakeTarget& target, Reports& reports)
{
    auto record = target.record;
    record.reportsPrimary = target.isPrimary;
    const auto* const listed = m_simulation.store().find(name);
    if (reports.isWriting || m_simulation.now() < reports.startAt || (listed && *listed == record))
        return;
    reports.isWriting = true;
    m_simulation.after(ProxySimulation::oneWayDelay + m_simulation.store().delay(), [this, name, record] {
        auto& written = m_reports.at(name);
        written.isWriting = false;
        if (m_simulation.target(name)->isGone)
            return;
        m_simulation.store().put(record);
        m_simulation.trace("record listed: " + name.value());
        if (!record.isLeaving || written.isEndScheduled)
            return;
        written.isEndScheduled = true;
        m_simulation.after(written.drain.value_or(drain), [this, name] { end(name); });
    });
}

bool SimulatedMembership::hasUnlistedTarget() const
{
    const auto& targets = m_simulation.targets();
    return std::any_of(targets.begin(), targets.end(),
        [this](const auto& entry) { return entry.second.isRunning && !m_simulation.store().find(entry.first); });
}

bool SimulatedMembership::isCrashed() const
{
    const auto& targets = m_simulation.targets();
    return std::any_of(targets.begin(), targets.end(),
        [](const auto& entry) { return !entry.second.isRunning && !entry.second.isGone; });
}

bool SimulatedMembership::isDispensable(const TargetName& name) const
{
    const auto& targets = m_simulation.targets();
    return std::any_of(targets.begin(), targets.end(), [&](const auto& entry) {
        const bool isKnown = !m_simulation.hasNewHost() || m_simulation.store().find(entry.first);
        return entry.first != name && entry.second.isRunning && isKnown
            && m_simulation.replication().holdsAcknowledged(entry.second);
    });
}

std::vector<TargetName> SimulatedMembership::staying() const
{
    std::vector<TargetName> names;
    for (const auto& [name, target] : m_simulation.targets()) {
        if (target.isRunning && !target.record.isLeaving)
            names.push_back(name);
    }
    return names;
}

} // namespace Auburnpost::Proxy
