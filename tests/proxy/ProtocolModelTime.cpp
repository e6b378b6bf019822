#include "proxy/ProtocolModel.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Time between the queries of two members, which are never sent at the same moment.
    constexpr Duration pollGap { 1 };
    /// Connections to targets and to the platform are reset after this time without an answer.
    constexpr std::size_t callTimeoutTicks = 6;
    /// Time for which a primary that reaches one of a higher term stays primary.
    constexpr std::size_t stepDownTicks = 10;

} // namespace

void ProtocolModel::expireHeldMessages()
{
    for (auto& message : m_messages) {
        if (message.kind == Kind::Effect && message.heldSince && m_tick >= *message.heldSince + m_scenario.maxLateTicks)
            message.heldSince.reset();
    }
    std::vector<ModelMessage> unanswered;
    std::erase_if(m_messages, [&](const ModelMessage& message) {
        const bool isConnected = message.kind == Kind::Command || message.kind == Kind::Reply
            || message.kind == Kind::Call || message.kind == Kind::CallAnswer;
        const bool isExpired = isConnected && message.heldSince && m_tick >= *message.heldSince + callTimeoutTicks;
        if (isExpired && (message.kind == Kind::Call || message.kind == Kind::CallAnswer))
            unanswered.push_back(message);
        return isExpired;
    });
    for (auto& message : unanswered) {
        message.kind = Kind::CallAnswer;
        message.outcome = PromotionOutcome::Unanswered;
        message.heldSince.reset();
        send(std::move(message));
    }
}

void ProtocolModel::passTick()
{
    ++m_tick;
    const auto passed = (m_now.time_since_epoch() / ModelHost::tickLength + 1) * ModelHost::tickLength;
    m_now = Instant(passed);
    for (auto& target : m_targets) {
        if (target.isLeaving)
            ++target.leavingTicks;
    }
    replicate();
    expireHeldMessages();
    for (std::size_t host = 0; host < hostCount; ++host) {
        if (!m_isPaused[host])
            passHostTick(host);
    }
}

void ProtocolModel::passHostTick(std::size_t host)
{
    auto& self = *m_hosts[host];
    const auto state = self.promotion().state();
    const auto reason = self.watcher().failoverReason(m_now);
    self.beginTick(m_now);
    if (self.isPollDue(m_now)) {
        self.pollStarted(m_now);
        std::vector<TargetName> names;
        for (const auto& [name, member] : self.watcher().members())
            names.push_back(name);
        for (const auto& name : names) {
            m_now += pollGap;
            poll(host, name);
        }
    }
    self.endTick(m_now);
    sendRequests(host);
    if (m_isTraced && state != self.promotion().state())
        trace(self.name().value() + " goes from " + state + " to " + self.promotion().state() + ", reason "
            + std::string(toString(reason)) + ", fences needed " + std::to_string(self.watcher().fencesNeeded()));
}

void ProtocolModel::poll(std::size_t host, const TargetName& name)
{
    const auto* const target = find(name);
    if (target && m_hostCuts.contains({ host, target->index }))
        m_hosts[host]->pollUnanswered(m_now, name);
    else if (!target || !target->isRunning)
        m_hosts[host]->pollRefused(m_now, name);
    else
        m_hosts[host]->statusReceived(m_now, name, m_now, target->status());
}

void ProtocolModel::replicate()
{
    for (auto& target : m_targets) {
        if (const auto* const source = sourceOf(target))
            receive(target, *source);
    }
    for (auto& target : m_targets) {
        const auto reachesNewer = [&](const ModelTarget& other) {
            return other.isRunning && other.isPrimary && other.term > target.term && !isCut(other.index, target.index);
        };
        const bool isFormer
            = target.isRunning && target.isPrimary && std::any_of(m_targets.begin(), m_targets.end(), reachesNewer);
        target.newerPrimaryTicks = isFormer ? target.newerPrimaryTicks + 1 : 0;
        if (target.newerPrimaryTicks <= stepDownTicks)
            continue;
        trace(target.name().value() + " steps down");
        target.isPrimary = false;
        target.newerPrimaryTicks = 0;
        updateRecord(target);
    }
}

void ProtocolModel::receive(ModelTarget& replica, const ModelTarget& primary)
{
    replica.follow(primary);
    if (m_scenario.hostsPassAnswers && !isUsedByHost(primary))
        return;
    for (const auto& commit : primary.log)
        m_acknowledged.try_emplace(commit.id, Acknowledgement { commit.point, m_now });
}

bool ProtocolModel::isUsedByHost(const ModelTarget& primary) const
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        const bool isReached = !m_isPaused[host] && !m_hostCuts.contains({ host, primary.index });
        if (isReached && m_hosts[host]->isUsing(m_now, primary.name()))
            return true;
    }
    return false;
}

ModelTarget* ProtocolModel::find(const TargetName& name)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(),
        [&name](const ModelTarget& target) { return !target.hasLeft && target.name() == name; });
    return found == m_targets.end() ? nullptr : &*found;
}

const ModelTarget* ProtocolModel::currentPrimary() const
{
    const ModelTarget* best = nullptr;
    for (const auto& target : m_targets) {
        if (target.isRunning && target.isPrimary && (!best || target.term > best->term))
            best = &target;
    }
    return best;
}

const ModelTarget* ProtocolModel::sourceOf(const ModelTarget& replica) const
{
    const ModelTarget* best = nullptr;
    for (const auto& target : m_targets) {
        const bool isSource
            = target.index != replica.index && replica.canFollow(target) && !isCut(target.index, replica.index);
        if (isSource && (!best || target.term > best->term))
            best = &target;
    }
    return best;
}

bool ProtocolModel::isCut(std::size_t left, std::size_t right) const
{
    return m_cuts.contains(std::minmax(left, right));
}

void ProtocolModel::updateRecord(const ModelTarget& target)
{
    if (!m_store.hasRecord(target.name()))
        return;
    m_store.setRecord(target.record());
    sendLists();
}

} // namespace Auburnpost::Proxy
