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

ProxySimulation::ProxySimulation(std::uint64_t seed, Duration promotionDelay)
    : m_promotionDelay(promotionDelay)
    , m_random(seed)
{
    for (std::size_t index = 0; index < targetCount; ++index) {
        const TargetName name("t" + std::to_string(index));
        auto& target = m_targets[name];
        target.record.name = name;
        target.record.group = GroupName("group");
        target.record.address = { "10.0.0." + std::to_string(index + 1), 1 };
        target.record.slots = 3;
        target.record.incarnation = TargetIncarnation(1);
        target.isPrimary = index == 0;
        target.record.reportsPrimary = index == 0;
    }
    for (std::size_t host = 0; host < hostCount; ++host)
        m_hosts.push_back(std::make_unique<SimulatedHost>(*this, host, seed + host));
    for (std::size_t host = 0; host < hostCount; ++host) {
        for (std::uint64_t session = 1; session <= callersPerHost; ++session) {
            const SessionId id(session);
            m_callers[{ host, session }] = std::make_unique<SimulatedCaller>(*this, host, id);
            after(1s, [this, host, id] {
                const auto database = std::next(SimulatedCaller::routes().begin(),
                    static_cast<std::ptrdiff_t>(id.value() % SimulatedCaller::routes().size()));
                hostProxy(host).sessionOpened(now(), id, DatabaseName(database->first));
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
    return m_cutHosts.contains({ host, target });
}

std::vector<StoreRow> ProxySimulation::targetRows() const
{
    std::vector<StoreRow> rows;
    for (const auto& [name, target] : m_targets)
        rows.push_back({ name.value(), RowVersion(1), "", false });
    return rows;
}

std::optional<RowVersion> ProxySimulation::writeLease(const PromotionLease& lease, RowVersion expected)
{
    if (expected != m_leaseRow.version)
        return {};
    m_leaseRow.lease = lease;
    m_leaseRow.version = RowVersion(++m_storeVersion);
    return m_leaseRow.version;
}

void ProxySimulation::promote(const TargetName& name, std::uint64_t token, const std::string& holder)
{
    m_checker.checkPromotionCall(token, holder);
    after(m_promotionDelay, [this, name] {
        auto& chosen = m_targets.at(name);
        if (!chosen.isRunning || chosen.isPrimary)
            return;
        Term highest;
        for (const auto& [other, target] : m_targets)
            highest = std::max(highest, target.term);
        trace("promotion of " + name.value());
        m_checker.checkPromotion(chosen);
        chosen.becomePrimary(Term(highest.value() + 1));
    });
}

void ProxySimulation::commit(
    const TargetName& name, const std::vector<std::string>& writes, std::function<void(LogPoint)> done)
{
    const auto point = m_targets.at(name).append(writes);
    m_unacknowledged.push_back({ name, point, std::move(done) });
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

void ProxySimulation::replicate()
{
    m_leaseRow.storeNowMs = static_cast<std::uint64_t>(toMilliseconds(now().time_since_epoch()));
    for (auto& [name, replica] : m_targets) {
        FakeTarget* source = nullptr;
        for (auto& [other, primary] : m_targets) {
            const bool reaches = !m_cutTargets.contains({ std::min(name, other), std::max(name, other) });
            if (other != name && primary.isRunning && primary.isPrimary && reaches
                && (!source || primary.term > source->term))
                source = &primary;
        }
        if (source && !replica.isPrimary && !m_notReceiving.contains(name))
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
    for (const auto& [name, target] : m_targets)
        std::cout << "; " << name << (target.isRunning ? "" : " down") << (target.isPrimary ? " primary" : " replica")
                  << " term " << target.term << " fenced " << target.fencedTerm << " end " << target.logEnd().term
                  << '.' << target.logEnd().position;
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
        m_storeAnswers = false;
        after(length, [this] { m_storeAnswers = true; });
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
