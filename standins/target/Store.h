#pragma once

#include "target/Database.h"
#include "target/LogEntry.h"

#include <memory>
#include <vector>

namespace Auburnpost::Standin {

/// The data of a target in two copies: committed data, and a working copy for the only open write transaction.
class Store {
public:
    Store();

    Database& committed() { return *m_committed; }
    Database& working() { return *m_working; }

    /// Runs a statement in the write transaction, and opens the transaction if none is open.
    SqlExpected<QueryResult> write(const SqlCommand&);
    /// @return the statements of the open write transaction, in order.
    [[nodiscard]] const std::vector<SqlCommand>& openStatements() const { return m_openStatements; }
    /// Commits the open write transaction on both copies.
    void commit();
    void rollback();
    /// Applies a log entry to both copies.
    void apply(const LogEntry&);
    /// Rebuilds both copies from an empty database by applying @p entries.
    void rebuild(const std::vector<LogEntry>& entries);

private:
    std::unique_ptr<Database> m_committed;
    std::unique_ptr<Database> m_working;
    std::vector<SqlCommand> m_openStatements;
    bool m_hasOpenTransaction { false };
};

} // namespace Auburnpost::Standin
