#pragma once

#include "session/Answer.h"
#include "session/Statement.h"

#include <map>
#include <optional>
#include <string>

namespace Auburnpost::Session {

using SessionValues = std::map<std::string, std::string, std::less<>>;

/// What follows a session over the pooled connections: its values, its prepared statements, where its transaction
/// stands, and the newest position that it wrote.
class SessionState {
public:
    /// Answers the statements that need no target: values, prepared names, the begin and end of a transaction that
    /// reached no target, and those that the state forbids.
    /// @param hasTarget whether the transaction runs on a target.
    /// @return the answer; empty when a target has to be asked.
    std::optional<Answer> answerLocally(const Statement&, bool hasTarget);

    [[nodiscard]] TransactionState transaction() const { return m_transaction; }
    /// Ends the transaction, or marks it as failed.
    void setTransaction(TransactionState state) { m_transaction = state; }
    /// @return whether the open transaction was begun as read-only.
    [[nodiscard]] bool isReadOnly() const { return m_isReadOnly; }

    [[nodiscard]] const SessionValues& values() const { return m_values; }
    /// @return the shape behind a prepared name, or null.
    [[nodiscard]] const PreparedShape* findPrepared(const std::string& name) const;

    /// Notes where a write of this session was acknowledged.
    void wrote(const LogPoint& position);
    /// @return the newest position that a read of this session must see.
    [[nodiscard]] const std::optional<LogPoint>& ownPosition() const { return m_ownPosition; }

private:
    [[nodiscard]] Answer done() const { return { Success {}, m_transaction, {} }; }
    [[nodiscard]] Answer refuse(FailureCode, std::string text);
    std::optional<Answer> answerTransactionWord(const Statement&, bool hasTarget);

    TransactionState m_transaction { TransactionState::Idle };
    bool m_isReadOnly { false };
    SessionValues m_values;
    std::map<std::string, PreparedShape, std::less<>> m_prepared;
    std::optional<LogPoint> m_ownPosition;
};

} // namespace Auburnpost::Session
