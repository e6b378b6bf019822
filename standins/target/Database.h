#pragma once

#include "target/SqlCommand.h"

#include <memory>

struct sqlite3;
struct sqlite3_stmt;

namespace Auburnpost::Standin {

/// An SQLite database in memory. Statements that write must be deterministic, since they are replayed on other copies.
class Database {
public:
    Database();
    ~Database();
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    /// @return whether the statement writes; a statement that can't be prepared counts as a read, which then fails.
    [[nodiscard]] bool writes(const std::string& sql);
    /// @return the columns that the statement answers, with the types that can be told before it runs.
    SqlExpected<std::vector<Column>> describe(const std::string& sql);
    SqlExpected<QueryResult> execute(const SqlCommand&);
    /// Starts a transaction.
    void begin();
    void commit();
    /// Undoes the open transaction, if there is one.
    void rollback();

private:
    struct Finalizer {
        void operator()(sqlite3_stmt*) const;
    };
    using Prepared = std::unique_ptr<sqlite3_stmt, Finalizer>;

    SqlExpected<Prepared> prepare(const std::string& sql);
    SqlExpected<void> bind(sqlite3_stmt*, const SqlCommand&);
    [[nodiscard]] SqlFault lastFault() const;
    void control(const char* sql);
    static int authorize(void* self, int action, const char*, const char*, const char*, const char*);

    sqlite3* m_handle { nullptr };
    bool m_ownControl { false };
    bool m_sawNondeterminism { false };
};

} // namespace Auburnpost::Standin
