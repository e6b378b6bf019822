#include "proxy/ProtocolModel.h"

#include <algorithm>

namespace Auburnpost::Proxy {

bool ProtocolModel::isOver() const
{
    return m_failedChecks.test(static_cast<std::size_t>(Check::LostCommit))
        || m_failedChecks.test(static_cast<std::size_t>(Check::WrongToken));
}

void ProtocolModel::recover()
{
    trace("all faults end");
    m_isPaused = {};
    applyHeal(0);
    for (auto& target : m_targets) {
        if (!target.isRunning && !target.hasLeft)
            applyReturn(target.index);
    }
    for (auto& message : m_messages)
        message.heldSince.reset();
    const auto end = m_tick + recoveryTicks;
    while (m_tick < end && !isOver() && !hasRecovered()) {
        m_now += stepLength;
        ++m_step;
        if (oldestBatch().empty())
            passTick();
        else
            applyStep(0);
        check();
    }
    if (!isOver() && !hasRecovered())
        fail(Check::NoPrimary, std::to_string(recoveryTicks) + " ticks after the end of all faults");
}

bool ProtocolModel::hasRecovered() const
{
    const auto* const primary = currentPrimary();
    if (!primary)
        return false;
    const auto others = std::count_if(m_targets.begin(), m_targets.end(),
        [primary](const ModelTarget& target) { return &target != primary && target.isRunning; });
    const auto followers = std::count_if(m_targets.begin(), m_targets.end(),
        [this, primary](const ModelTarget& target) { return sourceOf(target) == primary; });
    const auto isKnown = std::all_of(m_hosts.begin(), m_hosts.end(),
        [this, primary](const auto& host) { return host->isUsing(m_now, primary->name()); });
    return isKnown && (others == 0 || followers > 0);
}

void ProtocolModel::check()
{
    for (std::size_t host = 0; host < hostCount; ++host)
        checkConfirmations(host);
}

void ProtocolModel::checkConfirmations(std::size_t host)
{
    const auto& confirmations = m_hosts[host]->watcher().confirmations();
    const auto newest = confirmations.newestRequestedAt();
    if (!newest || newest == m_checkedConfirmation[host])
        return;
    m_checkedConfirmation[host] = newest;
    const auto end = confirmations.logPointAt(*newest);
    for (const auto& [id, acknowledgement] : m_acknowledged) {
        if (acknowledgement.at >= *newest)
            continue;
        if (*end < acknowledgement.point)
            fail(Check::WrongConfirmation,
                m_hosts[host]->name().value() + " confirms a log end before commit " + std::to_string(id));
        for (const auto& target : m_targets) {
            if (target.isPrimary && confirmations.covers(*newest, target.name()) && !target.holds(id))
                fail(Check::WrongConfirmation,
                    m_hosts[host]->name().value() + " confirms " + target.name().value() + ", which lacks commit "
                        + std::to_string(id));
        }
    }
}

std::uint64_t ProtocolModel::visibleState() const
{
    Fingerprint fingerprint;
    for (const auto& host : m_hosts) {
        fingerprint.add(host->promotion().state());
        fingerprint.add(static_cast<std::uint64_t>(host->watcher().failoverReason(m_now)));
        fingerprint.add(host->watcher().primary() ? host->watcher().primary()->value() : "");
        fingerprint.add(host->watcher().fencesNeeded());
    }
    for (const auto& target : m_targets)
        fingerprint.add(target.isPrimary ? 1 : 0);
    return fingerprint.value();
}

void ProtocolModel::addAcknowledgement(
    Fingerprint& fingerprint, std::size_t id, const Acknowledgement& acknowledgement) const
{
    // Confirmations made from queries that were sent later have to cover the commit.
    std::uint64_t later = 0;
    const auto addQuery
        = [&later, &acknowledgement](Instant sentAt) { later = 2 * later + (sentAt > acknowledgement.at ? 1 : 0); };
    for (const auto& host : m_hosts) {
        for (const auto& [name, member] : host->watcher().members())
            addQuery(member.queriedAt);
    }
    for (const auto& message : m_messages)
        addQuery(message.sentAt);
    fingerprint.add(id);
    fingerprint.add(later);
}

std::uint64_t ProtocolModel::fingerprint() const
{
    Fingerprint fingerprint;
    for (const auto& target : m_targets)
        target.addTo(fingerprint);
    m_store.addTo(fingerprint, nowMs());
    for (std::size_t host = 0; host < hostCount; ++host) {
        fingerprint.add(m_hostRestarts[host]);
        fingerprint.add(m_isPaused[host] ? 1 : 0);
        m_hosts[host]->addTo(fingerprint, m_now);
    }
    for (const auto& message : m_messages) {
        fingerprint.add(static_cast<std::uint64_t>(message.kind));
        fingerprint.add(message.host);
        fingerprint.add(message.target.value());
        fingerprint.add(message.command.index());
        fingerprint.add(message.status.received.position.value());
        fingerprint.add(message.status.fencedTerm.value());
        fingerprint.add(message.status.isPrimary ? 1 : 0);
        fingerprint.add(message.version.value());
        fingerprint.add(message.records.size());
        for (const auto& record : message.records) {
            fingerprint.add(record.name.value());
            fingerprint.add((record.isLeaving ? 1U : 0U) | (record.reportsPrimary ? 2U : 0U));
        }
        fingerprint.add(message.written ? message.written->value() : 0);
        fingerprint.add(
            message.leaseRequest == m_leaseReads[message.host] || message.leaseRequest == m_leaseWrites[message.host]
                ? 1
                : 0);
        fingerprint.add(message.dueTick > m_tick ? message.dueTick - m_tick : 0);
        fingerprint.add(message.heldSince ? m_tick - *message.heldSince + 1 : 0);
    }
    for (const auto& cuts : { m_cuts, m_hostCuts }) {
        fingerprint.add(cuts.size());
        for (const auto& [left, right] : cuts) {
            fingerprint.add(left);
            fingerprint.add(right);
        }
    }
    for (const auto& [id, acknowledgement] : m_acknowledged)
        addAcknowledgement(fingerprint, id, acknowledgement);
    for (const auto left : { m_faultsLeft, m_commitsLeft, m_lateOrdersLeft, m_delaysLeft })
        fingerprint.add(left);
    fingerprint.add(m_lastToken.value());
    fingerprint.add(m_failedChecks.to_ullong());
    return fingerprint.value();
}

} // namespace Auburnpost::Proxy
