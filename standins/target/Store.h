#pragma once

#include "target/Database.h"
#include "target/LogEntry.h"

#include <memory>
#include <vector>

namespace Auburnpost::Standin {

/// A target's data in two copies: the committed one, and a working one for the single open write transaction.
class Store {
public:
    Store();

    Database& committed() { return *m_committed; }
    Database& working() { return *m_working; }

    /// Runs a statement of the open write transaction, which it opens if need be.
    SqlExpected<QueryResult> write(const SqlCommand&);
    /// @return the statements of the open write transaction, in order.
    [[nodiscard]] const std::vector<SqlCommand>& openStatements() const { return m_open; }
    /// Makes the open write transaction part of the committed data.
    void commit();
    void rollback();
    /// Applies an entry of another target's log to both copies.
    void apply(const LogEntry&);
    /// Starts again from nothing and applies @p entries.
    void rebuild(const std::vector<LogEntry>& entries);

private:
    std::unique_ptr<Database> m_committed;
    std::unique_ptr<Database> m_working;
    std::vector<SqlCommand> m_open;
    bool m_writing { false };
};

} // namespace Auburnpost::Standin
