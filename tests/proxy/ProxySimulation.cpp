#include "proxy/ProxySimulation.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    constexpr Duration replicationInterval = 10ms;
    /// A primary steps down once it has been able to reach a primary of a higher term for this long.
    constexpr Duration stepDownDelay = 1s;

} // namespace

ProxySimulation::ProxySimulation(std::uint64_t seed, Duration promotionDelay, MembershipModel model)
    : m_model(model)
    , m_random(seed)
    , m_orders(promotionDelay)
    , m_replication(*this)
    , m_membership(*this)
{
    std::vector<TargetRecord> records;
    for (std::size_t index = 0; index < targetCount; ++index) {
        const TargetName name("t" + std::to_string(index));
        addTarget(name, index);
        auto& target = m_targets.at(name);
        target.isPrimary = index == 0;
        target.record.reportsPrimary = index == 0;
        records.push_back(target.record);
    }
    m_store.listFirst(records);
    for (std::size_t host = 0; host < hostCount; ++host)
        m_hosts.push_back(std::make_unique<SimulatedHost>(*this, host, seed + host));
    for (std::size_t host = 0; host < hostCount; ++host) {
        for (std::uint64_t session = 1; session <= callersPerHost; ++session) {
            const SessionId id(session);
            m_callers[{ host, session }] = std::make_unique<SimulatedCaller>(*this, host, id);
            after(1s, [this, host, id] {
                const auto database = std::next(SimulatedCaller::routes().begin(),
                    static_cast<std::ptrdiff_t>(id.value() % SimulatedCaller::routes().size()));
                hostProxy(host).sessionOpened(now(), id, { DatabaseName(database->first) });
            });
        }
    }
    after(replicationInterval, [this] { replicate(); });
}

ProxySimulation::~ProxySimulation() = default;

bool ProxySimulation::chance(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

Duration ProxySimulation::between(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

void ProxySimulation::run(Duration length)
{
    m_queue.runUntil(now() + length);
}

FakeTarget* ProxySimulation::target(const TargetName& name)
{
    return &m_targets.at(name);
}

bool ProxySimulation::isCut(std::size_t host, const TargetName& target) const
{
    return m_cutHosts.contains({ host, machineOf(target) }) || isIsolated(host);
}

void ProxySimulation::isolateHost(std::size_t host, Duration length)
{
    trace("isolated: host " + std::to_string(host));
    m_isolatedUntil[host] = now() + length;
    m_store.cutHost(host, now() + length);
}

bool ProxySimulation::isIsolated(std::size_t host) const
{
    const auto until = m_isolatedUntil.find(host);
    return until != m_isolatedUntil.end() && now() < until->second;
}

bool ProxySimulation::hasNewHost() const
{
    constexpr Duration memory = 15s;
    return m_hostStartedAt && now() - *m_hostStartedAt < memory;
}

bool ProxySimulation::areCut(const TargetName& left, const TargetName& right) const
{
    return m_cutTargets.contains(std::minmax(machineOf(left), machineOf(right)));
}

void ProxySimulation::setCut(const TargetName& left, const TargetName& right, bool isCut)
{
    trace((isCut ? "cut of " : "cut ended of ") + left.value() + " and " + right.value());
    const std::pair<TargetName, TargetName> cut = std::minmax(machineOf(left), machineOf(right));
    if (isCut)
        m_cutTargets.insert(cut);
    else
        m_cutTargets.erase(cut);
}

void ProxySimulation::setHostCut(std::size_t host, const TargetName& target, bool isCut)
{
    trace((isCut ? "cut of host " : "cut ended of host ") + std::to_string(host) + " and " + target.value());
    if (isCut)
        m_cutHosts.insert({ host, machineOf(target) });
    else
        m_cutHosts.erase({ host, machineOf(target) });
}

void ProxySimulation::addTarget(const TargetName& name, std::size_t number)
{
    auto& target = m_targets[name];
    target.record.name = name;
    target.record.group = GroupName("group");
    target.record.address = { "10.0.0." + std::to_string(number + 1), 1 };
    target.record.slots = 3;
    target.record.incarnation = TargetIncarnation(1);
}

FakeTarget& ProxySimulation::renameTarget(const TargetName& from, const TargetName& to)
{
    auto& former = m_targets.at(from);
    auto& target = m_targets[to];
    target = former;
    target.record.name = to;
    target.record.incarnation = TargetIncarnation(former.record.incarnation.value() + 1);
    former.end();
    m_machines[to] = machineOf(from);
    return target;
}

const TargetName& ProxySimulation::machineOf(const TargetName& name) const
{
    const auto machine = m_machines.find(name);
    return machine == m_machines.end() ? name : machine->second;
}

FakeTarget* ProxySimulation::targetAtAddressOf(const TargetName& name)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(), [this, &name](const auto& entry) {
        return entry.second.isRunning && machineOf(entry.first) == machineOf(name);
    });
    return found == m_targets.end() ? nullptr : &found->second;
}

void ProxySimulation::restartHost(std::size_t host, Duration downTime)
{
    // A call that a killed host sent before may arrive while the host is being started again.
    if (m_hosts.at(host)->isKilled())
        return;
    trace("kill of host " + std::to_string(host));
    m_hosts.at(host)->kill();
    for (std::uint64_t session = 1; session <= callersPerHost; ++session)
        m_callers.at({ host, session })->disconnected();
    for (auto& other : m_hosts)
        other->loseConnectionsVia(host);
    after(downTime, [this, host] {
        m_hostStartedAt = now();
        trace("start of host " + std::to_string(host));
        m_killedHosts.push_back(std::move(m_hosts.at(host)));
        const auto restarts = m_killedHosts.size();
        m_hosts.at(host) = std::make_unique<SimulatedHost>(*this, host, m_random(), restarts);
        if (m_delaysHandling)
            m_hosts.at(host)->delayHandling(m_random());
        for (std::uint64_t session = 1; session <= callersPerHost; ++session)
            m_callers.at({ host, session })->connect();
    });
}

std::optional<PromotionOutcome> ProxySimulation::promote(const TargetName& name, std::uint64_t token, std::size_t host)
{
    m_checker.checkPromotionCall(token, "host-" + std::to_string(host));
    if (hasChangingMembers() && !m_targets.at(name).isRunning)
        return PromotionOutcome::NotRunning;
    const auto order = m_orders.next(m_random);
    if (const auto function = std::exchange(m_onNextPromotionCall, {}))
        function(host);
    m_orders.recordAccepted();
    after(order.effectDelay, [this, name] {
        m_orders.recordSettled();
        auto& chosen = m_targets.at(name);
        if (!chosen.isRunning || chosen.isPrimary)
            return;
        Term highest;
        for (const auto& [other, target] : m_targets)
            highest = std::max(highest, target.term);
        trace("promotion of " + name.value());
        m_checker.checkPromotion(chosen);
        chosen.becomePrimary(Term(highest.value() + 1));
        m_promotedTerm = chosen.term;
    });
    if (!order.isAnswered)
        return {};
    return PromotionOutcome::Accepted;
}

void ProxySimulation::commit(
    const TargetName& name, const std::vector<std::string>& writes, std::function<void(LogPoint)> done)
{
    auto& primary = m_targets.at(name);
    const auto point = primary.append(writes);
    if (!hasChangingMembers()) {
        m_unacknowledged.push_back({ name, point, std::move(done) });
        return;
    }
    m_replication.commit(name, point, std::move(done));
    for (const auto& [replica, target] : m_targets) {
        if (sourceOf(replica) == &primary && !target.isPrimary && !m_notReceiving.contains(replica))
            m_replication.send(primary, replica);
    }
}

FakeTarget* ProxySimulation::currentPrimary()
{
    FakeTarget* best = nullptr;
    for (auto& [name, target] : m_targets) {
        if (target.isRunning && target.isPrimary && (!best || target.term > best->term))
            best = &target;
    }
    return best;
}

FakeTarget* ProxySimulation::sourceOf(const TargetName& name)
{
    FakeTarget* source = nullptr;
    for (auto& [other, primary] : m_targets) {
        if (other != name && primary.isRunning && primary.isPrimary && !areCut(name, other)
            && (!source || primary.term > source->term))
            source = &primary;
    }
    return source;
}

void ProxySimulation::replicate()
{
    m_store.setNow(now());
    for (auto& [name, replica] : m_targets) {
        auto* const source = sourceOf(name);
        const bool receives = source && !replica.isPrimary && !m_notReceiving.contains(name);
        if (receives && hasChangingMembers())
            m_replication.send(*source, name);
        else if (receives)
            replica.copyLogFrom(*source);
        const bool seesNewer = source && replica.isRunning && replica.isPrimary && source->term > replica.term;
        auto& since = m_newerPrimarySeenSince[name];
        if (!seesNewer)
            since = now();
        else if (now() - since >= stepDownDelay)
            replica.isPrimary = false;
        if (replica.isRunning && chance(0.7))
            replica.applied = replica.log.size();
    }
    acknowledgeCommits();
    if (!m_isViolationTraced && !m_checker.violation().empty()) {
        m_isViolationTraced = true;
        trace("violation: " + m_checker.violation());
    }
    if (hasChangingMembers()) {
        m_replication.dropWithoutPrimary();
        m_membership.update();
    }
    after(replicationInterval, [this] { replicate(); });
}

void ProxySimulation::acknowledgeCommits()
{
    std::vector<UnacknowledgedCommit> acknowledged;
    std::erase_if(m_unacknowledged, [this, &acknowledged](const UnacknowledgedCommit& pending) {
        const auto& primary = m_targets.at(pending.primary);
        if (!primary.isRunning || !primary.isPrimary)
            return true;
        const auto holders = std::count_if(m_targets.begin(), m_targets.end(), [&](const auto& entry) {
            const auto& log = entry.second.log;
            return entry.first != pending.primary && entry.second.isRunning && entry.second.term == primary.term
                && std::any_of(
                    log.begin(), log.end(), [&](const LogEntry& found) { return found.point == pending.point; });
        });
        if (static_cast<std::size_t>(holders) < syncReplicas)
            return false;
        acknowledged.push_back(pending);
        return true;
    });
    for (const auto& pending : acknowledged)
        pending.done(pending.point);
}

FakeTarget& ProxySimulation::chooseFaultTarget()
{
    auto* const primary = currentPrimary();
    if (primary && chance(0.6))
        return *primary;
    return std::next(m_targets.begin(), static_cast<std::ptrdiff_t>(m_random() % m_targets.size()))->second;
}

void ProxySimulation::trace(const std::string& text) const
{
    static const bool isTraced = std::getenv("PROXY_TRACE") != nullptr;
    if (!isTraced)
        return;
    std::cout << toMilliseconds(now().time_since_epoch()) << " simulation " << text;
    for (const auto& [name, target] : m_targets) {
        if (target.isGone)
            continue;
        std::cout << "; " << name << (target.isRunning ? "" : " down") << (target.isPrimary ? " primary" : " replica")
                  << " term " << target.term << " fenced " << target.fencedTerm << " end " << target.logEnd().term
                  << '.' << target.logEnd().position;
    }
    std::cout << '\n';
}

void ProxySimulation::crashPrimary()
{
    currentPrimary()->crash();
}

void ProxySimulation::injectFault()
{
    auto& faultTarget = chooseFaultTarget();
    const auto name = faultTarget.record.name;
    const auto length = between(200ms, 4000ms);
    const auto host = m_random() % hostCount;
    const auto kind = m_random() % 6;
    trace("fault " + std::to_string(kind) + " at " + name.value() + " or host " + std::to_string(host) + " for "
        + std::to_string(toMilliseconds(length)) + " ms");
    switch (kind) {
    case 0:
        // The target crashes and restarts later.
        // Only one target process is down at a time, as the platform specifies for a single copy of the data.
        if (std::any_of(m_targets.begin(), m_targets.end(), [](const auto& entry) { return !entry.second.isRunning; }))
            return;
        faultTarget.crash();
        after(length, [this, name] {
            auto& target = m_targets.at(name);
            target.isRunning = true;
            const auto* const primary = currentPrimary();
            if (primary && primary->record.name != name)
                target.isPrimary = false;
            target.term = target.log.empty() ? target.term : std::max(target.term, target.log.back().point.term);
        });
        return;
    case 1:
        // Some hosts can't reach the target.
        for (std::size_t each = 0; each < hostCount; ++each) {
            if (!chance(0.6))
                continue;
            m_cutHosts.insert({ each, name });
            after(length, [this, each, name] { m_cutHosts.erase({ each, name }); });
        }
        return;
    case 2:
        // The target and the other targets can't reach each other.
        for (const auto& [other, target] : m_targets) {
            if (other == name)
                continue;
            const std::pair cut { std::min(name, other), std::max(name, other) };
            m_cutTargets.insert(cut);
            after(length, [this, cut] { m_cutTargets.erase(cut); });
        }
        return;
    case 3:
        // The store is unavailable.
        m_store.setAnswering(false);
        after(length, [this] { m_store.setAnswering(true); });
        return;
    case 4:
        // A host is paused.
        m_hosts[host]->pause(now() + length);
        return;
    default:
        // The target receives no log as a replica.
        m_notReceiving.insert(name);
        after(length, [this, name] { m_notReceiving.erase(name); });
        return;
    }
}

void ProxySimulation::recoverAndCheck()
{
    constexpr Duration longestFault = 4s;
    constexpr Duration recoveryTime = 12s;
    run(longestFault);
    for (auto& [key, caller] : m_callers)
        caller->stop();
    run(recoveryTime);
    if (const auto* const primary = currentPrimary())
        m_checker.checkFinalLog(*primary);
}

} // namespace Auburnpost::Proxy
