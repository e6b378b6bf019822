#pragma once

#include "session/Answer.h"
#include "session/Statement.h"

#include <map>
#include <optional>
#include <string>

namespace Auburnpost::Session {

using SessionValues = std::map<std::string, std::string, std::less<>>;

/// The state of a caller's session that is independent of the pooled connections: its values, its prepared statements,
/// the state of its transaction, and the newest position that it wrote.
class SessionState {
public:
    /// Answers the statements that need no target: values, prepared names, the begin and end of a transaction that has
    /// not reached a target, and statements that the state does not permit.
    /// @param hasTarget whether the transaction runs on a target.
    /// @return the answer; empty when a target has to run the statement.
    std::optional<Answer> answerLocally(const Statement&, bool hasTarget);

    [[nodiscard]] TransactionState transaction() const { return m_transaction; }
    /// Sets the state of the transaction after the answer of a target: ended, still open, or failed.
    void setTransaction(TransactionState state) { m_transaction = state; }
    /// @return whether the open transaction was begun as read-only.
    [[nodiscard]] bool isReadOnly() const { return m_isReadOnly; }

    [[nodiscard]] const SessionValues& values() const { return m_values; }
    /// @return the statement prepared under that name, or null.
    [[nodiscard]] const PreparedShape* findPrepared(const std::string& name) const;

    /// Records the position at which a write of this session was acknowledged.
    void recordWrite(const LogPoint& position);
    /// @return the newest position that a read of this session must see.
    [[nodiscard]] const std::optional<LogPoint>& ownPosition() const { return m_ownPosition; }

private:
    [[nodiscard]] Answer makeSuccess() const { return { Success {}, m_transaction, {} }; }
    [[nodiscard]] Answer refuse(FailureCode, std::string text);
    std::optional<Answer> answerTransactionControl(const Statement&, bool hasTarget);

    TransactionState m_transaction { TransactionState::Idle };
    bool m_isReadOnly { false };
    SessionValues m_values;
    std::map<std::string, PreparedShape, std::less<>> m_prepared;
    std::optional<LogPoint> m_ownPosition;
};

} // namespace Auburnpost::Session
