#include "session/SessionState.h"

#include <algorithm>

namespace Auburnpost::Session {

std::optional<Answer> SessionState::answerLocally(const Statement& statement, bool hasTarget)
{
    switch (statement.kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
    case StatementKind::Commit:
    case StatementKind::Rollback:
        return answerTransactionControl(statement, hasTarget);
    default:
        break;
    }
    if (m_transaction == TransactionState::Failed)
        return refuse(FailureCode::Malformed, "the transaction has failed: roll it back first");
    switch (statement.kind) {
    case StatementKind::SetValue:
        m_values[statement.name] = statement.argument;
        return makeSuccess();
    case StatementKind::Prepare:
        m_prepared[statement.name] = statement.prepared;
        return makeSuccess();
    case StatementKind::Forget:
        m_prepared.erase(statement.name);
        return makeSuccess();
    case StatementKind::Execute:
        if (!findPrepared(statement.name))
            return refuse(FailureCode::UnknownPreparedName, "no such prepared statement");
        return {};
    default:
        return {};
    }
}

std::optional<Answer> SessionState::answerTransactionControl(const Statement& statement, bool hasTarget)
{
    const bool isBegin = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
    if (isBegin) {
        if (m_transaction != TransactionState::Idle)
            return refuse(FailureCode::Malformed, "a transaction is open");
        m_transaction = TransactionState::Open;
        m_isReadOnly = statement.kind == StatementKind::BeginReadOnly;
        return makeSuccess();
    }
    if (m_transaction == TransactionState::Idle)
        return refuse(FailureCode::Malformed, "no transaction is open");
    if (statement.kind == StatementKind::Commit) {
        if (m_transaction == TransactionState::Open)
            return {};
        // A failed transaction is rolled back at its end, so its commit must not be reported as a success.
        m_transaction = TransactionState::Idle;
        return refuse(FailureCode::Aborted, "the transaction had failed and was rolled back");
    }
    if (hasTarget)
        return {};
    m_transaction = TransactionState::Idle;
    return makeSuccess();
}

const PreparedShape* SessionState::findPrepared(const std::string& name) const
{
    const auto found = m_prepared.find(name);
    return found == m_prepared.end() ? nullptr : &found->second;
}

void SessionState::recordWrite(const LogPoint& position)
{
    m_ownPosition = m_ownPosition ? std::max(*m_ownPosition, position) : position;
}

Answer SessionState::refuse(FailureCode code, std::string text)
{
    return { Failure { code, std::move(text) }, m_transaction, {} };
}

} // namespace Auburnpost::Session
