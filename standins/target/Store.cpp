#include "target/Store.h"

#include "base/Invariant.h"

namespace Auburnpost::Standin {

namespace {

    void replay(Database& database, const std::vector<SqlCommand>& statements)
    {
        database.begin();
        for (const SqlCommand& statement : statements) {
            const auto result = database.execute(statement);
            AUBURNPOST_INVARIANT(result, "a committed statement succeeds on every copy: " + statement.sql);
        }
        database.commit();
    }

} // namespace

Store::Store()
    : m_committed(std::make_unique<Database>())
    , m_working(std::make_unique<Database>())
{
}

SqlExpected<QueryResult> Store::write(const SqlCommand& command)
{
    if (!m_hasOpenTransaction) {
        m_working->begin();
        m_hasOpenTransaction = true;
    }
    auto result = m_working->execute(command);
    if (result)
        m_openStatements.push_back(command);
    return result;
}

void Store::commit()
{
    replay(*m_committed, m_openStatements);
    m_working->commit();
    m_openStatements.clear();
    m_hasOpenTransaction = false;
}

void Store::rollback()
{
    m_working->rollback();
    m_openStatements.clear();
    m_hasOpenTransaction = false;
}

void Store::apply(const LogEntry& entry)
{
    AUBURNPOST_INVARIANT(!m_hasOpenTransaction, "a replica has no open write transaction");
    replay(*m_committed, entry.statements);
    replay(*m_working, entry.statements);
}

void Store::rebuild(const std::vector<LogEntry>& entries)
{
    rollback();
    m_committed = std::make_unique<Database>();
    m_working = std::make_unique<Database>();
    for (const LogEntry& entry : entries)
        apply(entry);
}

} // namespace Auburnpost::Standin
