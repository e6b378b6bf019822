#include "proxy/GroupService.h"
#include "proxy/PromotionLog.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

void GroupService::resolveDoubt(Instant now)
{
    auto& guard = m_watcher.guard();
    if (const auto resolved = guard.takeResolved()) {
        const std::chrono::duration<double, std::milli> length = resolved->length;
        m_delegate.measure("primary_doubt_ms", length.count());
        log({ LogEvent::PrimaryDoubtResolved,
            { { "group", m_name.value() }, { "target", resolved->primary.name.value() },
                { "term", std::to_string(resolved->primary.term.value()) },
                { "doubt", std::string(toString(resolved->doubt)) },
                { "by", std::string(toString(resolved->resolution)) },
                { "ms", std::to_string(toMilliseconds(resolved->length)) } } });
    }
    if (m_loggedDoubt != guard.doubt()) {
        m_loggedDoubt = guard.doubt();
        if (m_loggedDoubt != PrimaryDoubt::None)
            log({ LogEvent::PrimaryDoubted,
                { { "group", m_name.value() }, { "target", m_watcher.primary() ? m_watcher.primary()->value() : "-" },
                    { "term", std::to_string(m_watcher.primaryTerm().value()) },
                    { "doubt", std::string(toString(m_loggedDoubt)) },
                    { "lease", PromotionLog::describeLease(now, m_leaseReading) },
                    { "fences_above",
                        std::to_string(PromotionLog::countFencedAbove(m_watcher, m_watcher.primaryTerm())) } } });
    }
    sendLeaseReads(now);
    const auto primary = m_watcher.primary();
    if (m_heldAcknowledgements.empty() || !primary || !guard.allows(*primary))
        return;
    for (const auto& [id, held] : std::exchange(m_heldAcknowledgements, {})) {
        const auto* const found = findStatement(id);
        if (!found)
            continue;
        const auto acknowledged = *found;
        // The target may have been replaced and lead again since.
        const bool isOfEarlierTerm = held.answer.position && held.answer.position->term < m_watcher.primaryTerm();
        if (held.target != *primary || isOfEarlierTerm) {
            finishInDoubt(acknowledged);
            continue;
        }
        const bool isDurable = !held.answer.position || m_watcher.isDurable(now, held.target, *held.answer.position);
        const bool isIsolated = held.at > guard.clearAsOf() && !m_watcher.seesFences(now);
        if (isIsolated)
            guard.recordIsolation(now);
        if (isIsolated || !isDurable) {
            m_heldAcknowledgements.emplace(id, held);
            continue;
        }
        const std::chrono::duration<double, std::milli> length = now - held.at;
        m_delegate.measure("acknowledgement_held_ms", length.count());
        finish(acknowledged, held.answer, nullptr);
    }
}

bool GroupService::isPrimaryDoubted() const
{
    return m_watcher.primary() && !m_watcher.guard().allows(*m_watcher.primary());
}

void GroupService::logAbsence(Instant now)
{
    if (!m_primaryAbsence.observe(now, m_watcher))
        return;
    auto fields = m_primaryAbsence.describe(now, m_watcher, m_promotion);
    fields.insert(fields.begin(), { "group", m_name.value() });
    log({ LogEvent::PrimaryAbsent, std::move(fields) });
}

void GroupService::sendLeaseReads(Instant now)
{
    // While this host replaces the primary itself, its own state tells more than the row.
    const bool isOwnAttempt = m_promotion.isReplacing() && m_promotion.state() != "Delaying";
    const bool isWanted = m_watcher.guard().isReadDue(now) || isRowConfirmationDue(now);
    if (!m_leaseReads.send(now, !isOwnAttempt && isWanted))
        return;
    m_rowReadAt = now;
    m_delegate.readLease(m_name);
}

std::optional<Instant> GroupService::primaryKeptAsOf() const
{
    return std::max(m_watcher.unreplacedAsOf(), m_watcher.guard().unreplacedByRowAsOf(m_watcher.primaryTerm()));
}

bool GroupService::isRowConfirmationDue(Instant now) const
{
    const auto awaited = m_queue.latestAwaited(Limit::LaneSet().set(writeLane));
    const auto asOf = primaryKeptAsOf();
    return awaited && m_watcher.primary() && (!asOf || *asOf < *awaited)
        && now - m_rowReadAt >= confirmationRoundTimeout && !m_watcher.canMembersConfirm(now);
}

void GroupService::queryHolders(Instant now)
{
    std::vector<const GroupWatcher::Member*> others;
    for (const auto& [name, member] : m_watcher.members()) {
        if (name != m_watcher.primary() && GroupMembership::isEstablished(now, member) && !member.health.isSuspect(now))
            others.push_back(&member);
    }
    std::sort(others.begin(), others.end(),
        [](const auto* left, const auto* right) { return left->health.roundTrip() < right->health.roundTrip(); });
    for (std::size_t index = 0; index < std::min(m_rules.syncReplicas, others.size()); ++index)
        queryStatus(now, others[index]->record.name);
}

bool GroupService::acknowledgesWrites(const TargetConnection& connection, const PendingStatement& pending)
{
    if (connection.stage == ConnectionStage::Pinned)
        return pending.statement.kind == StatementKind::Commit && connection.hasWritten;
    return pending.access == Session::Access::Write;
}

void GroupService::holdAcknowledgement(
    Instant now, PendingStatement& pending, const TargetName& target, const TargetReply& reply)
{
    pending.isAcknowledged = true;
    m_heldAcknowledgements[pending.id]
        = { target, { std::get<Session::Success>(reply.body), reply.state, reply.position }, now };
    log({ LogEvent::AcknowledgementHeld,
        { { "group", m_name.value() }, { "id", pending.statementId.value() }, { "target", target.value() },
            { "position", reply.position ? PromotionLog::describe(*reply.position) : "-" } } });
}

void GroupService::finishInDoubt(const PendingStatement& acknowledged)
{
    finish(acknowledged,
        { Session::Failure { FailureCode::InDoubt, "the primary that acknowledged the write may have been replaced" },
            TransactionState::Idle, {} },
        nullptr);
}

} // namespace Auburnpost::Proxy
