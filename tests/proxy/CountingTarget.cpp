#include "proxy/CountingTarget.h"

#include <algorithm>
#include <sstream>

namespace Auburnpost::Proxy {

using Session::FailureCode;
using Session::StatementKind;
using Session::TransactionState;

const std::vector<Session::PreparedShape>& preparedShapes()
{
    static const std::vector<Session::PreparedShape> shapes { { Session::Access::Read, "air-by-district1" },
        { Session::Access::Read, "x0OSxEwHoxLi4ZhG" }, { Session::Access::Write, "post-reading-v01" },
        { Session::Access::Write, "oKcAQ8eBTI8sBDOS" }, { Session::Access::Read, "post-reading-v01" } };
    return shapes;
}

StatementOrigin StatementOrigin::parse(const Session::StatementId& id)
{
    StatementOrigin origin;
    char separator = 0;
    std::istringstream(id.value()) >> origin.session >> separator >> origin.transaction >> separator >> origin.shape;
    return origin;
}

Session::StatementId StatementOrigin::toId() const
{
    return Session::StatementId(
        std::to_string(session) + "-" + std::to_string(transaction) + "-" + std::to_string(shape));
}

void CountingTarget::open(ConnectionId id, const TargetName& target)
{
    m_connections[id].target = target;
}

std::size_t CountingTarget::openTransactions() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
        [](const auto& entry) { return entry.second.state != TransactionState::Idle; }));
}

TargetReply CountingTarget::answer(ConnectionId id, TargetOutcome outcome)
{
    auto& connection = m_connections.at(id);
    const auto request = connection.unanswered.front();
    connection.unanswered.pop_front();
    TargetReply reply;
    reply.position = LogPoint { Term(2), Position(9) };
    const bool endsTransaction = std::holds_alternative<RollbackTransaction>(request);
    if (const auto* const statement = std::get_if<RunStatement>(&request)) {
        run(id, connection, *statement, reply, outcome);
    } else if (connection.state == TransactionState::Failed && !endsTransaction) {
        reply.body = Session::Failure { FailureCode::Malformed, "the transaction failed" };
    } else if (setUp(connection, request)) {
        // Takes no slot, so it is never refused.
    } else if (outcome != TargetOutcome::Succeeds && (!endsTransaction || m_mayRefuseRollbacks)) {
        const auto code = outcome == TargetOutcome::Refused ? FailureCode::Busy : FailureCode::Failed;
        reply.body = Session::Failure { code, "" };
    } else if (std::holds_alternative<BeginTransaction>(request)) {
        if (connection.state != TransactionState::Idle)
            m_violations.push_back("a transaction began inside another one");
        connection.state = TransactionState::Open;
        connection.owner.reset();
    } else if (endsTransaction) {
        connection.state = TransactionState::Idle;
        connection.owner.reset();
    } else {
        reply.status = TargetStatus {};
        reply.status->isPrimary = connection.target == TargetName("p");
        reply.status->term = Term(2);
        reply.status->received = { Term(2), Position(9) };
        // No room for further connections, so that callers share the few that a host may always open.
        constexpr std::size_t connectionLimit = 50;
        reply.status->connections = connectionLimit;
    }
    reply.state = connection.state;
    return reply;
}

bool CountingTarget::setUp(Connection& connection, const TargetRequest& request)
{
    if (const auto* const prepare = std::get_if<PrepareStatement>(&request))
        connection.prepared[prepare->name] = prepare->prepared;
    else if (std::holds_alternative<ResetConnection>(request))
        connection.prepared.clear();
    else
        return std::holds_alternative<SetValue>(request);
    return true;
}

void CountingTarget::run(
    ConnectionId id, Connection& connection, const RunStatement& statement, TargetReply& reply, TargetOutcome outcome)
{
    const bool commits = statement.statement.kind == StatementKind::Commit;
    if (outcome == TargetOutcome::Refused) {
        m_refusedCommits += commits ? 1 : 0;
        reply.body = Session::Failure { FailureCode::Busy, "" };
        return;
    }
    const auto origin = StatementOrigin::parse(statement.id);
    if (statement.statement.kind == StatementKind::Execute) {
        const auto known = connection.prepared.find(statement.preparedName);
        if (known == connection.prepared.end()) {
            reply.body = Session::Failure { FailureCode::UnknownPreparedName, "" };
            return;
        }
        if (known->second != preparedShapes().at(origin.shape))
            m_violations.push_back(origin.toId().value() + " runs the shape " + known->second.shape);
    }
    checkOrigin(id, connection, origin);
    ++m_ran;
    if (connection.state == TransactionState::Failed && !commits) {
        reply.body = Session::Failure { FailureCode::Malformed, "the transaction failed" };
        return;
    }
    if (connection.state == TransactionState::Open && !connection.owner)
        connection.owner = origin;
    if (outcome == TargetOutcome::Fails) {
        reply.body = Session::Failure { FailureCode::Failed, "" };
        if (connection.state == TransactionState::Open)
            connection.state = TransactionState::Failed;
    }
    if (commits) {
        connection.state = TransactionState::Idle;
        connection.owner.reset();
    }
}

void CountingTarget::checkOrigin(ConnectionId id, const Connection& connection, const StatementOrigin& origin)
{
    const auto describe = [id, &origin](const std::string& what) {
        return "statement of " + origin.toId().value() + " on connection " + std::to_string(id.value()) + " " + what;
    };
    const bool isOpen = connection.state != TransactionState::Idle;
    if (origin.transaction == 0 && isOpen)
        m_violations.push_back(describe("ran inside a transaction"));
    else if (origin.transaction != 0 && !isOpen)
        m_violations.push_back(describe("ran outside its transaction"));
    else if (isOpen && connection.owner && !connection.owner->isSameTransaction(origin))
        m_violations.push_back(describe("ran inside transaction " + connection.owner->toId().value()));
}

} // namespace Auburnpost::Proxy
