#pragma once

#include "target/SqlCommand.h"

#include <memory>

struct sqlite3;
struct sqlite3_stmt;

namespace Auburnpost::Standin {

/// An in-memory SQLite database. Writing statements must be deterministic, since they are replayed on other copies.
class Database {
public:
    Database();
    ~Database();
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    /// @return whether the statement writes. A statement that can't be prepared counts as a read, and execute() reports
    /// its error.
    [[nodiscard]] bool writes(const std::string& sql);
    /// @return the columns of the result, with the types that are known before the statement runs.
    SqlExpected<std::vector<Column>> describe(const std::string& sql);
    /// Runs one statement to its end. @return its result, or the error of SQLite as an SqlError.
    SqlExpected<QueryResult> execute(const SqlCommand&);
    void begin();
    void commit();
    /// Rolls back the open transaction, if there is one.
    void rollback();

private:
    struct Finalizer {
        void operator()(sqlite3_stmt*) const;
    };
    using Prepared = std::unique_ptr<sqlite3_stmt, Finalizer>;

    SqlExpected<Prepared> prepare(const std::string& sql);
    SqlExpected<void> bind(sqlite3_stmt*, const SqlCommand&);
    [[nodiscard]] SqlError lastError() const;
    /// Runs BEGIN, COMMIT or ROLLBACK, which authorize() denies to statements of clients.
    void runTransactionControl(const char* sql);
    /// SQLite authorizer: denies transaction control, pragmas and attached databases to statements of clients, and
    /// detects nondeterministic functions.
    static int authorize(void* self, int action, const char*, const char*, const char*, const char*);

    sqlite3* m_handle { nullptr };
    bool m_allowsTransactionControl { false };
    bool m_isNondeterministic { false };
};

} // namespace Auburnpost::Standin
