#include "proxy/ProtocolModel.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    using namespace std::chrono_literals;

    constexpr Instant startOfTime { 1000s };
    constexpr GroupRules groupRules { 50, 1 };
    /// Longest time that a step passes without anything happening.
    constexpr std::size_t maxWaitTicks = 60;

} // namespace

std::string_view toString(ProtocolModel::Check check)
{
    constexpr std::string_view texts[] { "lost commit", "wrong confirmation", "wrong token", "no primary" };
    return texts[static_cast<std::size_t>(check)];
}

ProtocolModel::ProtocolModel(const ModelScenario& scenario, bool isTraced)
    : m_scenario(scenario)
    , m_isTraced(isTraced)
    , m_now(startOfTime)
{
    m_targets.reserve(maxMembers);
    for (std::size_t index = 0; index < scenario.members; ++index) {
        auto& target = m_targets.emplace_back(index);
        target.isPrimary = index == 0;
        target.isLeaving = index + scenario.leaving >= scenario.members;
        target.leavingTicks = target.isLeaving ? drainTicks : 0;
        m_store.setRecord(target.record());
    }
    for (std::size_t host = 0; host < hostCount; ++host) {
        m_hosts[host] = std::make_unique<ModelHost>(host, groupRules);
        m_hosts[host]->applyList(m_now, m_store.records(), m_store.listVersion());
    }
    setRecorder();
    passTick();
    passTick();
    if (scenario.recordsMembers)
        playRecording();
    switch (scenario.start) {
    case ModelScenario::Start::Established:
        break;
    case ModelScenario::Start::PrimaryCrashed:
        applyCrash(0);
        break;
    case ModelScenario::Start::PrimaryCrashedAfterJoin:
        applyJoin(0);
        applyCommit(scenario.members);
        applyCrash(0);
        break;
    case ModelScenario::Start::PrimaryLeaving:
        applyLeave(0);
        break;
    case ModelScenario::Start::PrimaryCut:
        applyCutStaying(0);
        break;
    case ModelScenario::Start::PrimaryCutAfterLapse:
        applyLapse(scenario.members - 1);
        applyCutStaying(0);
        applyRestartHost(0);
        break;
    case ModelScenario::Start::HostCut:
        applyCutHost(1);
        break;
    case ModelScenario::Start::PrimaryLeavingAfterLapse:
        applyLapse(scenario.members - 1);
        applyLeave(0);
        break;
    case ModelScenario::Start::PromotionLate:
        applyCrash(0);
        playLatePromotion();
        break;
    }
    m_faultsLeft = scenario.faults;
    m_commitsLeft = scenario.commits;
    m_lateOrdersLeft = scenario.lateOrders;
    m_delaysLeft = scenario.delays;
}

void ProtocolModel::setRecorder()
{
    if (m_scenario.recordsMembers)
        m_hosts[recorder]->recordMembers();
}

void ProtocolModel::playRecording()
{
    const auto& promotion = m_hosts[recorder]->promotion();
    while (!promotion.isIdle() || !promotion.recorder().isCurrent(m_hosts[recorder]->watcher()))
        apply({});
}

void ProtocolModel::playLatePromotion()
{
    const auto holdEffect = [this] {
        const auto effect = std::find_if(m_messages.begin(), m_messages.end(),
            [](const ModelMessage& message) { return message.kind == Kind::Effect && !message.heldSince; });
        if (effect == m_messages.end())
            return false;
        effect->heldSince = m_tick;
        return true;
    };
    while (!holdEffect())
        apply({});
    applyReturn(0);
    const auto isAwaiting = [](const auto& host) { return host->promotion().state() == "Awaiting"; };
    while (std::any_of(m_hosts.begin(), m_hosts.end(), isAwaiting) || m_hosts[0]->promotion().state() == "Calling")
        apply({});
}

std::uint64_t ProtocolModel::nowMs() const
{
    return static_cast<std::uint64_t>(toMilliseconds(m_now.time_since_epoch()));
}

void ProtocolModel::trace(const std::string& text)
{
    if (m_isTraced)
        m_trace.push_back(std::to_string(toMilliseconds(m_now - startOfTime)) + " ms: " + text);
}

void ProtocolModel::fail(Check check, const std::string& text)
{
    if (!m_failedChecks.test(static_cast<std::size_t>(check)))
        trace("FAILED, " + std::string(toString(check)) + ": " + text);
    m_failedChecks.set(static_cast<std::size_t>(check));
}

void ProtocolModel::apply(const ModelChoice& choice)
{
    constexpr void (ProtocolModel::*actions[])(std::size_t) { &ProtocolModel::applyStep, &ProtocolModel::applyTick,
        &ProtocolModel::applyHold, &ProtocolModel::applyRelease, &ProtocolModel::applyCommit,
        &ProtocolModel::applyCommitAlone, &ProtocolModel::applyCrash, &ProtocolModel::applyReturn,
        &ProtocolModel::applyCut, &ProtocolModel::applyCutStaying, &ProtocolModel::applyCutHost,
        &ProtocolModel::applyHeal, &ProtocolModel::applyJoin, &ProtocolModel::applyLeave, &ProtocolModel::applyEnd,
        &ProtocolModel::applyLapse, &ProtocolModel::applyRestartHost, &ProtocolModel::applyPauseHost,
        &ProtocolModel::applyContinueHost };
    m_now += stepLength;
    ++m_step;
    (this->*actions[static_cast<std::size_t>(choice.kind)])(choice.index);
    check();
}

void ProtocolModel::applyStep(std::size_t)
{
    const auto batch = oldestBatch();
    if (batch.empty()) {
        const auto before = visibleState();
        for (std::size_t count = 0; count < maxWaitTicks && visibleState() == before && oldestBatch().empty(); ++count)
            passTick();
        return;
    }
    std::vector<ModelMessage> messages;
    messages.reserve(batch.size());
    for (const auto index : batch)
        messages.push_back(m_messages[index]);
    for (auto index = batch.rbegin(); index != batch.rend(); ++index)
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(*index));
    for (const auto& message : messages)
        deliver(message);
}

void ProtocolModel::applyTick(std::size_t)
{
    --m_delaysLeft;
    passTick();
}

void ProtocolModel::applyHold(std::size_t index)
{
    auto& message = m_messages[index];
    auto& budget = message.kind == Kind::Effect && m_lateOrdersLeft > 0 ? m_lateOrdersLeft : m_delaysLeft;
    --budget;
    message.heldSince = m_tick;
    trace("held back: " + toString(message));
}

void ProtocolModel::applyRelease(std::size_t index)
{
    const auto message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    deliver(message);
}

void ProtocolModel::applyCommit(std::size_t index)
{
    auto& replica = m_targets[index];
    auto& primary = m_targets[sourceOf(replica)->index];
    --m_commitsLeft;
    const auto id = ++m_commits;
    primary.append(id);
    trace(primary.name().value() + " completes commit " + std::to_string(id) + " with " + replica.name().value());
    receive(replica, primary);
    if (!m_isPaused[0] && !m_hostCuts.contains({ 0, primary.index }))
        m_hosts[0]->commitAcknowledged(m_now, m_now, primary.name(), primary.logEnd());
}

void ProtocolModel::applyCommitAlone(std::size_t)
{
    auto& primary = m_targets[currentPrimary()->index];
    --m_commitsLeft;
    primary.append(++m_commits);
    trace(primary.name().value() + " appends commit " + std::to_string(m_commits) + ", not acknowledged");
}

void ProtocolModel::applyCrash(std::size_t)
{
    auto& primary = m_targets[currentPrimary()->index];
    --m_faultsLeft;
    trace(primary.name().value() + " crashes");
    primary.crash();
    ModelMessage expiry;
    expiry.kind = Kind::Expiry;
    expiry.target = primary.name();
    expiry.dueTick = m_tick + 30;
    send(std::move(expiry));
}

void ProtocolModel::applyReturn(std::size_t index)
{
    auto& target = m_targets[index];
    // It returns as a replica if another target was promoted meanwhile.
    const auto* const newer = currentPrimary();
    target.isPrimary = target.isPrimary && (!newer || newer->term <= target.term);
    target.restart();
    trace(target.name().value() + " starts again as " + (target.isPrimary ? "primary" : "replica"));
    ModelMessage registration;
    registration.kind = Kind::Registration;
    registration.target = target.name();
    registration.dueTick = m_tick + 2;
    send(std::move(registration));
}

void ProtocolModel::applyCut(std::size_t index)
{
    --m_faultsLeft;
    trace("cut between " + currentPrimary()->name().value() + " and " + m_targets[index].name().value());
    m_cuts.insert(std::minmax(currentPrimary()->index, index));
}

void ProtocolModel::applyCutStaying(std::size_t)
{
    --m_faultsLeft;
    const auto* const primary = currentPrimary();
    trace("cut between " + primary->name().value() + " and all replicas that stay");
    for (const auto& target : m_targets) {
        if (&target != primary && !target.isLeaving)
            m_cuts.insert(std::minmax(primary->index, target.index));
    }
}

void ProtocolModel::applyCutHost(std::size_t index)
{
    --m_faultsLeft;
    trace("cut between " + m_hosts[index]->name().value() + " and " + currentPrimary()->name().value());
    m_hostCuts.insert({ index, currentPrimary()->index });
}

void ProtocolModel::applyHeal(std::size_t)
{
    trace("all cuts end");
    m_cuts.clear();
    m_hostCuts.clear();
}

void ProtocolModel::applyJoin(std::size_t)
{
    --m_faultsLeft;
    const auto* const primary = currentPrimary();
    auto& target = m_targets.emplace_back(m_targets.size());
    if (const auto* const source = sourceOf(target))
        receive(target, *source);
    trace(target.name().value() + " joins as a replica" + (primary ? " of " + primary->name().value() : ""));
    ModelMessage registration;
    registration.kind = Kind::Registration;
    registration.target = target.name();
    registration.dueTick = m_tick + 3;
    send(std::move(registration));
}

void ProtocolModel::applyLeave(std::size_t index)
{
    --m_faultsLeft;
    auto& target = m_targets[index];
    target.isLeaving = true;
    trace(target.name().value() + " announces its shutdown");
    updateRecord(target);
}

void ProtocolModel::applyEnd(std::size_t index)
{
    --m_faultsLeft;
    auto& target = m_targets[index];
    trace("the process of " + target.name().value() + " ends after its shutdown");
    target.leave();
    m_store.removeRecord(target.name());
    sendLists();
}

void ProtocolModel::applyLapse(std::size_t index)
{
    --m_faultsLeft;
    const auto& target = m_targets[index];
    trace("the record of " + target.name().value() + " expires although it runs");
    m_store.removeRecord(target.name());
    sendLists();
    ModelMessage registration;
    registration.kind = Kind::Registration;
    registration.target = target.name();
    registration.dueTick = m_tick + 30;
    send(std::move(registration));
}

void ProtocolModel::applyRestartHost(std::size_t index)
{
    --m_faultsLeft;
    trace(m_hosts[index]->name().value() + " starts again");
    ++m_hostRestarts[index];
    m_hosts[index] = std::make_unique<ModelHost>(index, groupRules);
    setRecorder();
    m_checkedConfirmation[index].reset();
    m_hosts[index]->applyList(m_now, m_store.records(), m_store.listVersion());
}

void ProtocolModel::applyPauseHost(std::size_t index)
{
    --m_faultsLeft;
    trace(m_hosts[index]->name().value() + " is paused");
    m_isPaused[index] = true;
}

void ProtocolModel::applyContinueHost(std::size_t index)
{
    trace(m_hosts[index]->name().value() + " continues");
    m_isPaused[index] = false;
}

} // namespace Auburnpost::Proxy
