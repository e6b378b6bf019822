#include "proxy/LendingSimulation.h"

namespace Auburnpost::Proxy {

using Session::StatementKind;
using Session::TransactionState;

namespace {

    /// The name under which each caller prepares its shape.
    constexpr auto preparedName = "s1";

} // namespace

LendingSimulation::LendingSimulation(std::uint64_t seed, bool mayRefuseRollbacks)
    : m_random(seed)
    , m_target(mayRefuseRollbacks)
{
    for (std::size_t index = 0; index < callerCount; ++index)
        open(index);
    // The proxy asks each target for its role before it sends statements.
    for (int round = 0; round < 4; ++round) {
        advance(20ms);
        answerAll();
    }
}

void LendingSimulation::open(std::size_t index)
{
    auto& caller = m_callers.at(index);
    caller = {};
    caller.session = ++m_lastSession;
    m_proxy.open(caller.session, "orders");
    pump();
}

void LendingSimulation::send(std::size_t index, StatementKind kind)
{
    auto& caller = m_callers.at(index);
    const bool begins = kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
    caller.transactions += begins ? 1 : 0;
    const bool isInTransaction = begins || caller.state != TransactionState::Idle;
    const StatementOrigin origin { caller.session, isInTransaction ? caller.transactions : 0, caller.shape };
    caller.isWaiting = true;
    caller.sent = kind;
    caller.answer.reset();
    Session::Statement statement;
    statement.kind = kind;
    statement.name = preparedName;
    statement.prepared = preparedShapes().at(caller.shape);
    m_proxy.proxy.statementArrived(m_proxy.now, SessionId(caller.session), origin.toId(), statement);
    pump();
}

void LendingSimulation::prepare(std::size_t index, std::size_t shape)
{
    m_callers.at(index).shape = shape;
    send(index, StatementKind::Prepare);
}

void LendingSimulation::leave(std::size_t index)
{
    m_proxy.proxy.sessionClosed(m_proxy.now, SessionId(m_callers.at(index).session));
    m_callers.at(index) = {};
    pump();
}

std::optional<Session::FailureCode> LendingSimulation::failureOf(std::size_t index) const
{
    const auto& answer = m_callers.at(index).answer;
    const auto* const failure = answer ? std::get_if<Session::Failure>(&answer->body) : nullptr;
    return failure ? std::optional(failure->code) : std::nullopt;
}

void LendingSimulation::answer(ConnectionId id, TargetOutcome outcome)
{
    m_proxy.proxy.replied(m_proxy.now, id, m_target.answer(id, outcome));
    pump();
}

void LendingSimulation::answerStatusQueries()
{
    while (const auto id = connectionWith<QueryStatus>())
        answer(*id);
}

void LendingSimulation::answerAll()
{
    constexpr int maxAnswers = 1000;
    for (int count = 0; count < maxAnswers; ++count) {
        const auto& connections = m_target.connections();
        const auto next = std::find_if(
            connections.begin(), connections.end(), [](const auto& entry) { return !entry.second.unanswered.empty(); });
        if (next == connections.end())
            return;
        answer(next->first);
    }
}

void LendingSimulation::endConnection(ConnectionId id)
{
    m_target.close(id);
    m_proxy.proxy.connectionLost(m_proxy.now, id);
    pump();
}

void LendingSimulation::advance(Duration length)
{
    // A longer gap between two ticks counts as a pause of the process.
    constexpr Duration step = 100ms;
    for (const auto end = m_proxy.now + length; m_proxy.now < end;) {
        m_proxy.now = std::min<Instant>(m_proxy.now + step, end);
        m_proxy.proxy.tick(m_proxy.now);
        pump();
    }
}

ConnectionId LendingSimulation::connectionOf(std::size_t index)
{
    for (const auto& [id, connection] : m_target.connections()) {
        const auto* const run
            = connection.unanswered.empty() ? nullptr : std::get_if<RunStatement>(&connection.unanswered.front());
        if (run && StatementOrigin::parse(run->id).session == m_callers.at(index).session)
            return id;
    }
    return {};
}

void LendingSimulation::pump()
{
    auto& recorded = m_proxy.delegate;
    for (bool isDone = false; !isDone;) {
        isDone = recorded.opened.empty() && recorded.sent.empty() && recorded.newLeaseReads.empty();
        m_proxy.answerDoubts();
        for (const auto& [id, request] : std::exchange(recorded.sent, {})) {
            const auto connection = m_target.connections().find(id);
            if (connection != m_target.connections().end())
                connection->second.unanswered.push_back(request);
        }
        for (const auto id : std::exchange(recorded.closedConnections, {}))
            m_target.close(id);
        for (const auto& [id, target] : std::exchange(recorded.opened, {})) {
            m_target.open(id, target.name);
            m_proxy.proxy.connectionOpened(m_proxy.now, id, {});
        }
    }
    for (auto& caller : m_callers) {
        const auto answer = recorded.answers.extract(SessionId(caller.session));
        if (!answer)
            continue;
        caller.isWaiting = false;
        caller.answer = answer.mapped();
        caller.state = caller.answer->state;
    }
}

void LendingSimulation::act(Caller& caller)
{
    const auto index = indexOf(caller);
    if (caller.session == 0) {
        open(index);
        prepare(index, below(preparedShapes().size()));
        return;
    }
    if (caller.state == TransactionState::Failed) {
        send(index, StatementKind::Rollback);
        return;
    }
    const auto kind = below(10);
    if (caller.state == TransactionState::Idle) {
        constexpr StatementKind kinds[] { StatementKind::Read, StatementKind::Execute, StatementKind::Write,
            StatementKind::BeginReadOnly };
        send(index, kind < std::size(kinds) ? kinds[kind] : StatementKind::Begin);
        return;
    }
    constexpr StatementKind kinds[] { StatementKind::Commit, StatementKind::Commit, StatementKind::Commit,
        StatementKind::Rollback, StatementKind::Write, StatementKind::Write, StatementKind::Execute };
    send(index, kind < std::size(kinds) ? kinds[kind] : StatementKind::Read);
}

void LendingSimulation::answerRandom()
{
    std::vector<ConnectionId> waiting;
    for (const auto& [id, connection] : m_target.connections()) {
        if (!connection.unanswered.empty())
            waiting.push_back(id);
    }
    if (waiting.empty())
        return;
    const auto id = waiting[below(waiting.size())];
    const auto kind = below(100);
    if (kind < 3)
        endConnection(id);
    else if (kind < 25)
        answer(id, TargetOutcome::Refused);
    else if (kind < 30)
        answer(id, TargetOutcome::Fails);
    else
        answer(id);
}

void LendingSimulation::step()
{
    const auto kind = below(100);
    auto& caller = m_callers[below(m_callers.size())];
    if (kind < 45) {
        answerRandom();
    } else if (kind < 75) {
        if (!caller.isWaiting)
            act(caller);
    } else if (kind < 85) {
        // Callers leave most often while they wait for an answer.
        if (caller.session != 0 && (caller.isWaiting || chance(0.1)))
            leave(indexOf(caller));
    } else {
        // At times long enough for the next status queries.
        advance(std::chrono::milliseconds(1 + below(chance(0.2) ? 600 : 40)));
    }
}

void LendingSimulation::settle()
{
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        if (m_callers[index].session != 0)
            leave(index);
    }
    for (int round = 0; round < 5; ++round) {
        answerAll();
        advance(20ms);
    }
    answerAll();
}

} // namespace Auburnpost::Proxy
