#include "proxy/ProtocolModel.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    /// Time from an accepted call to its effect.
    constexpr std::size_t effectTicks = 3;
    constexpr auto kindCount = static_cast<std::size_t>(ModelMessage::Kind::Expiry) + 1;

} // namespace

void ProtocolModel::send(ModelMessage message)
{
    message.hostRestarts = m_hostRestarts[message.host];
    // Lists reach both hosts in one step; other messages of two hosts are delivered one after the other.
    const auto sender = message.kind == Kind::List ? 0 : message.host;
    message.batch
        = (((m_step << 16U) + m_tick) * hostCount + sender) * kindCount + static_cast<std::size_t>(message.kind);
    message.dueTick = std::max(message.dueTick, m_tick);
    m_messages.push_back(std::move(message));
}

void ProtocolModel::sendLists()
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        // A list that is still on its way shows the changes as well.
        const bool isOnWay = std::any_of(m_messages.begin(), m_messages.end(),
            [host](const ModelMessage& message) { return message.kind == Kind::List && message.host == host; });
        if (isOnWay)
            continue;
        ModelMessage message;
        message.host = host;
        send(std::move(message));
    }
}

void ProtocolModel::sendRequests(std::size_t host)
{
    for (const auto& request : m_hosts[host]->takeRequests()) {
        ModelMessage message;
        message.host = host;
        message.sentAt = m_now;
        if (std::holds_alternative<LeaseReadRequest>(request)) {
            message.kind = Kind::LeaseRead;
            message.leaseRequest = ++m_leaseReads[host];
        } else if (const auto* const write = std::get_if<LeaseWriteRequest>(&request)) {
            message.kind = Kind::LeaseWrite;
            message.leaseRequest = ++m_leaseWrites[host];
            message.lease = write->lease;
            message.version = write->expected;
        } else if (std::holds_alternative<MembersReadRequest>(request)) {
            message.kind = Kind::MembersRead;
        } else if (const auto* const call = std::get_if<PromotionRequest>(&request)) {
            message.kind = call->isLate ? Kind::CallAnswer : Kind::Call;
            message.outcome = call->isLate ? PromotionOutcome::NotDone : PromotionOutcome::Accepted;
            message.target = call->target;
            message.version = call->token;
        } else if (const auto* const command = std::get_if<CommandRequest>(&request)) {
            message.kind = Kind::Command;
            message.target = command->target;
            message.command = command->command;
        }
        send(std::move(message));
    }
}

std::vector<std::size_t> ProtocolModel::oldestBatch() const
{
    const ModelMessage* oldest = nullptr;
    const auto canDeliver = [this](const ModelMessage& message) {
        const bool isHostsOwn = message.kind != Kind::Effect && message.kind != Kind::Registration
            && message.kind != Kind::Expiry && message.kind != Kind::Call && message.kind != Kind::Command
            && message.kind != Kind::LeaseRead && message.kind != Kind::LeaseWrite && message.kind != Kind::MembersRead;
        return !message.heldSince && message.dueTick <= m_tick && !(isHostsOwn && m_isPaused[message.host]);
    };
    for (const auto& message : m_messages) {
        if (canDeliver(message) && (!oldest || message.dueTick < oldest->dueTick))
            oldest = &message;
    }
    std::vector<std::size_t> batch;
    for (std::size_t index = 0; oldest && index < m_messages.size(); ++index) {
        if (m_messages[index].batch == oldest->batch && canDeliver(m_messages[index]))
            batch.push_back(index);
    }
    return batch;
}

void ProtocolModel::deliver(const ModelMessage& message)
{
    constexpr void (ProtocolModel::*actions[])(const ModelMessage&) { &ProtocolModel::deliverList,
        &ProtocolModel::deliverCommand, &ProtocolModel::deliverReply, &ProtocolModel::deliverLeaseRead,
        &ProtocolModel::deliverLeaseReadAnswer, &ProtocolModel::deliverLeaseWrite,
        &ProtocolModel::deliverLeaseWriteAnswer, &ProtocolModel::deliverMembersRead,
        &ProtocolModel::deliverMembersReadAnswer, &ProtocolModel::deliverCall, &ProtocolModel::deliverCallAnswer,
        &ProtocolModel::deliverEffect, &ProtocolModel::deliverRegistration, &ProtocolModel::deliverExpiry };
    if (m_isTraced)
        trace(toString(message));
    (this->*actions[static_cast<std::size_t>(message.kind)])(message);
    sendRequests(message.host);
}

void ProtocolModel::deliverList(const ModelMessage& message)
{
    m_hosts[message.host]->applyList(m_now, m_store.records(), m_store.listVersion());
}

void ProtocolModel::deliverCommand(const ModelMessage& message)
{
    auto* const target = find(message.target);
    const bool isReachable = target && !m_hostCuts.contains({ message.host, target->index });
    if (!isReachable || !target->isRunning) {
        const bool isCutOff = target && !isReachable;
        if (!isCutOff && !m_isPaused[message.host] && message.hostRestarts == m_hostRestarts[message.host])
            m_hosts[message.host]->pollRefused(m_now, message.target);
        return;
    }
    const bool wasPrimary = target->isPrimary;
    target->execute(message.command);
    if (wasPrimary != target->isPrimary)
        updateRecord(*target);
    auto reply = message;
    reply.kind = Kind::Reply;
    reply.status = target->status();
    reply.heldSince.reset();
    if (message.hostRestarts == m_hostRestarts[message.host])
        send(std::move(reply));
}

void ProtocolModel::deliverReply(const ModelMessage& message)
{
    if (message.hostRestarts == m_hostRestarts[message.host])
        m_hosts[message.host]->statusReceived(m_now, message.target, message.sentAt, message.status);
}

void ProtocolModel::deliverLeaseRead(const ModelMessage& message)
{
    if (message.hostRestarts != m_hostRestarts[message.host])
        return;
    auto answer = message;
    answer.kind = Kind::LeaseReadAnswer;
    answer.row = m_store.readLease(nowMs());
    answer.heldSince.reset();
    send(std::move(answer));
}

void ProtocolModel::deliverLeaseReadAnswer(const ModelMessage& message)
{
    const bool isWanted
        = message.hostRestarts == m_hostRestarts[message.host] && message.leaseRequest == m_leaseReads[message.host];
    if (isWanted)
        m_hosts[message.host]->leaseRead(m_now, message.row);
}

void ProtocolModel::deliverLeaseWrite(const ModelMessage& message)
{
    auto answer = message;
    answer.kind = Kind::LeaseWriteAnswer;
    answer.written = m_store.writeLease(message.lease, message.version);
    answer.heldSince.reset();
    if (message.hostRestarts == m_hostRestarts[message.host])
        send(std::move(answer));
}

void ProtocolModel::deliverLeaseWriteAnswer(const ModelMessage& message)
{
    const bool isWanted
        = message.hostRestarts == m_hostRestarts[message.host] && message.leaseRequest == m_leaseWrites[message.host];
    if (isWanted)
        m_hosts[message.host]->leaseWritten(m_now, message.written);
}

void ProtocolModel::deliverMembersRead(const ModelMessage& message)
{
    if (message.hostRestarts != m_hostRestarts[message.host])
        return;
    auto answer = message;
    answer.kind = Kind::MembersReadAnswer;
    answer.records = m_store.records();
    answer.listVersion = m_store.listVersion();
    answer.heldSince.reset();
    send(std::move(answer));
}

void ProtocolModel::deliverMembersReadAnswer(const ModelMessage& message)
{
    if (message.hostRestarts == m_hostRestarts[message.host])
        m_hosts[message.host]->membersRead(m_now, message.records, message.listVersion);
}

void ProtocolModel::deliverCall(const ModelMessage& message)
{
    if (message.version < m_lastToken)
        fail(Check::WrongToken, "a call with a lower token follows a higher one");
    if (message.version == m_lastToken && m_lastCaller != message.host)
        fail(Check::WrongToken, "two holders call with one token");
    m_lastToken = std::max(m_lastToken, message.version);
    m_lastCaller = message.host;
    const auto* const target = find(message.target);
    auto answer = message;
    answer.kind = Kind::CallAnswer;
    answer.heldSince.reset();
    answer.outcome = target && target->isRunning ? PromotionOutcome::Accepted : PromotionOutcome::NotRunning;
    if (answer.outcome == PromotionOutcome::Accepted) {
        auto effect = message;
        effect.kind = Kind::Effect;
        effect.heldSince.reset();
        effect.dueTick = m_tick + effectTicks;
        send(std::move(effect));
    }
    if (message.hostRestarts == m_hostRestarts[message.host])
        send(std::move(answer));
}

void ProtocolModel::deliverCallAnswer(const ModelMessage& message)
{
    if (message.hostRestarts == m_hostRestarts[message.host])
        m_hosts[message.host]->promoteAnswered(m_now, message.outcome);
}

void ProtocolModel::deliverEffect(const ModelMessage& message)
{
    auto* const target = find(message.target);
    if (!target || !target->isRunning || target == currentPrimary())
        return;
    for (const auto& [id, acknowledgement] : m_acknowledged) {
        if (!target->holds(id))
            fail(Check::LostCommit,
                "the promotion of " + target->name().value() + " takes effect without commit " + std::to_string(id));
    }
    Term highest;
    for (const auto& other : m_targets)
        highest = std::max(highest, other.term);
    target->becomePrimary(Term(highest.value() + 1));
    updateRecord(*target);
    replicate();
}

void ProtocolModel::deliverRegistration(const ModelMessage& message)
{
    const auto* const target = find(message.target);
    if (!target || !target->isRunning)
        return;
    m_store.setRecord(target->record());
    sendLists();
}

void ProtocolModel::deliverExpiry(const ModelMessage& message)
{
    m_store.removeRecord(message.target);
    sendLists();
}

} // namespace Auburnpost::Proxy
