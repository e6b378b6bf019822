#include "engine/TargetPool.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost {

namespace {

    Limit::AdmissionQueueSettings makeQueueSettings(std::size_t length)
    {
        Limit::AdmissionQueueSettings settings;
        settings.capacity = length;
        return settings;
    }

} // namespace

TargetPool::TargetPool(TargetName target, const Limit::ConnectionBudgetSettings& settings, std::size_t inFlightLimit,
    std::size_t queueLength, TargetPoolDelegate& delegate)
    : m_target(std::move(target))
    , m_budget(settings)
    , m_queue(makeQueueSettings(queueLength))
    , m_inFlightLimit(inFlightLimit)
    , m_delegate(delegate)
{
}

Error TargetPool::error(ErrorCode code, std::string message) const
{
    return { code, "wait for connection", m_target.value(), std::move(message) };
}

void TargetPool::request(Instant now, const Limit::Ticket& ticket, bool pinned)
{
    if (m_leaving) {
        m_delegate.connectionRefused(now, OperationId(ticket.id.value()),
            error(ErrorCode::Leaving, "the target takes no new work"), std::nullopt);
        return;
    }
    if (pinned) {
        m_pinnedQueue.push_back(ticket);
    } else {
        for (const auto& refusal : m_queue.enqueue(now, ticket))
            refuse(now, refusal);
    }
    pump(now);
}

void TargetPool::cancel(OperationId operation)
{
    m_queue.cancel(RequestId(operation.value()));
    std::erase_if(m_pinnedQueue, [operation](const auto& ticket) { return ticket.id.value() == operation.value(); });
}

void TargetPool::pump(Instant now)
{
    refuseExpired(now);
    grantPinned(now);
    grantQueued(now);
    for (auto count = m_leaving ? 0 : m_budget.connectionsToOpen(now, waiting()); count > 0; --count)
        m_connections.emplace(m_delegate.openConnection(m_target), Connection {});
    for (auto count = m_budget.connectionsToClose(now); count > 0; --count) {
        const auto connection = m_idle.front();
        m_idle.erase(m_idle.begin());
        m_connections.erase(connection);
        m_delegate.closeConnection(connection);
    }
}

void TargetPool::refuseExpired(Instant now)
{
    for (const auto& refusal : m_queue.removeExpired(now))
        refuse(now, refusal);
    while (!m_pinnedQueue.empty() && m_pinnedQueue.front().deadline <= now) {
        const OperationId operation(m_pinnedQueue.front().id.value());
        m_pinnedQueue.pop_front();
        m_delegate.connectionRefused(
            now, operation, error(ErrorCode::DeadlineExceeded, "no connection was free in time"), std::nullopt);
    }
}

void TargetPool::refuse(Instant now, const Limit::AdmissionRefusal& refusal)
{
    m_delegate.connectionRefused(
        now, OperationId(refusal.id.value()), error(refusal.code(), "the target is loaded"), refusal.retryAfter);
}

void TargetPool::grantPinned(Instant now)
{
    while (!m_pinnedQueue.empty() && !m_idle.empty() && m_budget.pin(now)) {
        const OperationId operation(m_pinnedQueue.front().id.value());
        m_pinnedQueue.pop_front();
        grant(now, operation, State::Pinned);
    }
}

void TargetPool::grantQueued(Instant now)
{
    while (!m_idle.empty() && m_budget.busy() < m_inFlightLimit) {
        const auto ticket = m_queue.next(now);
        if (!ticket)
            return;
        const bool isTaken = m_budget.acquire(now);
        AUBURNPOST_INVARIANT(isTaken, "the connection budget counts each idle connection");
        grant(now, OperationId(ticket->id.value()), State::Busy);
    }
}

void TargetPool::grant(Instant now, OperationId operation, State state)
{
    const auto connection = m_idle.back();
    m_idle.pop_back();
    m_connections[connection] = { state, operation, state == State::Pinned };
    ++m_granted;
    m_delegate.connectionGranted(now, operation, connection);
}

void TargetPool::release(Instant now, ConnectionId connection, ConnectionDisposition disposition)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    if (disposition == ConnectionDisposition::RollBack) {
        found->second.state = State::RollingBack;
        m_delegate.rollBackConnection(now, connection);
        return;
    }
    if (disposition == ConnectionDisposition::Reuse && !m_leaving) {
        makeIdle(now, connection);
        pump(now);
        return;
    }
    countLoss(now, found->second);
    m_connections.erase(found);
    m_delegate.closeConnection(connection);
    pump(now);
}

void TargetPool::makeIdle(Instant now, ConnectionId connection)
{
    auto& entry = m_connections[connection];
    if (entry.pinned)
        m_budget.unpin(now);
    else
        m_budget.returnConnection(now);
    entry = { State::Idle, {}, false };
    m_idle.push_back(connection);
}

void TargetPool::countLoss(Instant now, Connection& entry)
{
    if (entry.pinned)
        m_budget.recordPinnedLoss(now);
    else
        m_budget.recordBusyLoss(now);
}

void TargetPool::handleConnectionOpened(Instant now, ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    m_openFailed = false;
    m_budget.recordOpened(now);
    found->second.state = State::Idle;
    m_idle.push_back(connection);
    pump(now);
}

void TargetPool::handleRollbackDone(Instant now, ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && found->second.state == State::RollingBack)
        release(now, connection, ConnectionDisposition::Reuse);
}

std::optional<OperationId> TargetPool::handleConnectionLoss(Instant now, ConnectionId connection, RandomEngine& random)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return std::nullopt;
    const auto entry = found->second;
    m_connections.erase(found);
    switch (entry.state) {
    case State::Opening:
        m_openFailed = true;
        m_budget.recordOpenFailure(now, random);
        return std::nullopt;
    case State::Idle:
        std::erase(m_idle, connection);
        m_budget.recordIdleLoss(now);
        return std::nullopt;
    case State::RollingBack: {
        auto lostEntry = entry;
        countLoss(now, lostEntry);
        return std::nullopt;
    }
    case State::Busy:
    case State::Pinned: {
        auto lostEntry = entry;
        countLoss(now, lostEntry);
        return entry.holder;
    }
    }
    return std::nullopt;
}

void TargetPool::setLeaving(Instant now, bool leaving)
{
    if (m_leaving == leaving)
        return;
    m_leaving = leaving;
    if (!leaving)
        return;
    const auto refusal = error(ErrorCode::Leaving, "the target takes no new work");
    while (!m_pinnedQueue.empty()) {
        const OperationId operation(m_pinnedQueue.front().id.value());
        m_pinnedQueue.pop_front();
        m_delegate.connectionRefused(now, operation, refusal, std::nullopt);
    }
    while (const auto ticket = m_queue.next(now))
        m_delegate.connectionRefused(now, OperationId(ticket->id.value()), refusal, std::nullopt);
    for (const auto connection : std::exchange(m_idle, {})) {
        m_connections.erase(connection);
        m_budget.recordIdleLoss(now);
        m_delegate.closeConnection(connection);
    }
}

std::optional<OperationId> TargetPool::holder(ConnectionId connection) const
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return std::nullopt;
    if (found->second.state != State::Busy && found->second.state != State::Pinned)
        return std::nullopt;
    return found->second.holder;
}

std::vector<OperationId> TargetPool::shutDown()
{
    std::vector<OperationId> held;
    for (const auto& [connection, entry] : m_connections) {
        if (entry.state == State::Busy || entry.state == State::Pinned)
            held.push_back(entry.holder);
        m_delegate.closeConnection(connection);
    }
    m_connections.clear();
    m_idle.clear();
    return held;
}

} // namespace Auburnpost
