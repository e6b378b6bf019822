#include "target/Database.h"

#include "base/Invariant.h"

#include <algorithm>
#include <array>
#include <map>
#include <sqlite3.h>
#include <string_view>

namespace Auburnpost::Standin {

namespace {

    constexpr std::uint32_t int8Type = 20;
    constexpr std::uint32_t float8Type = 701;
    constexpr std::uint32_t textType = 25;

    constexpr std::array<std::string_view, 15> nondeterministicFunctions { "random", "randomblob", "date", "time",
        "datetime", "julianday", "unixepoch", "strftime", "current_time", "current_date", "current_timestamp",
        "changes", "total_changes", "last_insert_rowid", "sqlite_source_id" };

    std::string upper(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
        return text;
    }

    std::string firstWord(const std::string& sql)
    {
        constexpr auto blanks = " \t\r\n(";
        const auto start = sql.find_first_not_of(blanks);
        if (start == std::string::npos)
            return "";
        return upper(sql.substr(start, sql.find_first_of(blanks, start) - start));
    }

    std::uint32_t declaredType(sqlite3_stmt* statement, int column)
    {
        const char* const declared = sqlite3_column_decltype(statement, column);
        if (!declared)
            return 0;
        const std::string type = upper(declared);
        if (type.find("INT") != std::string::npos)
            return int8Type;
        if (type.find("REAL") != std::string::npos || type.find("DOUB") != std::string::npos
            || type.find("FLOA") != std::string::npos || type.find("NUMERIC") != std::string::npos)
            return float8Type;
        return textType;
    }

    std::uint32_t valueType(sqlite3_stmt* statement, int column)
    {
        switch (sqlite3_column_type(statement, column)) {
        case SQLITE_INTEGER:
            return int8Type;
        case SQLITE_FLOAT:
            return float8Type;
        case SQLITE_NULL:
            return 0;
        default:
            return textType;
        }
    }

    std::vector<Column> readColumns(sqlite3_stmt* statement)
    {
        const int count = sqlite3_column_count(statement);
        std::vector<Column> columns;
        columns.reserve(count);
        for (int column = 0; column < count; ++column)
            columns.push_back({ sqlite3_column_name(statement, column), declaredType(statement, column) });
        return columns;
    }

    std::vector<SqlValue> readRow(sqlite3_stmt* statement, std::vector<Column>& columns)
    {
        std::vector<SqlValue> row;
        row.reserve(columns.size());
        for (int column = 0; column < static_cast<int>(columns.size()); ++column) {
            auto& type = columns[column].type;
            if (!type)
                type = valueType(statement, column);
            const auto* const text = reinterpret_cast<const char*>(sqlite3_column_text(statement, column));
            row.push_back(text ? SqlValue(std::string(text, sqlite3_column_bytes(statement, column))) : SqlValue());
        }
        return row;
    }

    void defaultTypesToText(std::vector<Column>& columns)
    {
        for (Column& column : columns) {
            if (!column.type)
                column.type = textType;
        }
    }

    std::string makeTag(const std::string& sql, bool hasColumns, const ResultSet& set)
    {
        const std::string word = firstWord(sql);
        if (word == "INSERT" || word == "REPLACE")
            return "INSERT 0 " + std::to_string(set.rowsAffected);
        if (word == "UPDATE" || word == "DELETE")
            return word + " " + std::to_string(set.rowsAffected);
        if (hasColumns)
            return "SELECT " + std::to_string(set.rows.size());
        return word;
    }

    int bindParameter(sqlite3_stmt* statement, int index, const SqlParameter& parameter)
    {
        if (const auto* const number = std::get_if<std::int64_t>(&parameter))
            return sqlite3_bind_int64(statement, index, *number);
        if (const auto* const real = std::get_if<double>(&parameter))
            return sqlite3_bind_double(statement, index, *real);
        if (const auto* const text = std::get_if<std::string>(&parameter))
            return sqlite3_bind_text64(statement, index, text->data(), text->size(), SQLITE_TRANSIENT, SQLITE_UTF8);
        return sqlite3_bind_null(statement, index);
    }

    std::string toSqlState(int code, const std::string& message)
    {
        static const std::map<int, const char*> states { { SQLITE_CONSTRAINT_UNIQUE, SqlState::unique },
            { SQLITE_CONSTRAINT_PRIMARYKEY, SqlState::unique }, { SQLITE_CONSTRAINT_ROWID, SqlState::unique },
            { SQLITE_CONSTRAINT_NOTNULL, SqlState::notNull }, { SQLITE_CONSTRAINT_FOREIGNKEY, SqlState::foreignKey },
            { SQLITE_CONSTRAINT_CHECK, SqlState::check }, { SQLITE_AUTH, SqlState::notPermitted },
            { SQLITE_MISMATCH, SqlState::badParameter } };
        if (const auto found = states.find(code); found != states.end())
            return found->second;
        if ((code & 0xff) == SQLITE_CONSTRAINT)
            return SqlState::constraint;
        if (message.starts_with("no such table"))
            return SqlState::unknownTable;
        if (message.starts_with("no such column"))
            return SqlState::unknownColumn;
        return (code & 0xff) == SQLITE_ERROR ? SqlState::syntax : SqlState::internal;
    }

} // namespace

void Database::Finalizer::operator()(sqlite3_stmt* statement) const
{
    sqlite3_finalize(statement);
}

Database::Database()
{
    const int opened = sqlite3_open(":memory:", &m_handle);
    AUBURNPOST_INVARIANT(opened == SQLITE_OK, "SQLite can open an in-memory database");
    sqlite3_extended_result_codes(m_handle, 1);
    sqlite3_set_authorizer(m_handle, authorize, this);
}

Database::~Database()
{
    sqlite3_close(m_handle);
}

bool Database::writes(const std::string& sql)
{
    const auto prepared = prepare(sql);
    return prepared && !sqlite3_stmt_readonly(prepared->get());
}

SqlExpected<std::vector<Column>> Database::describe(const std::string& sql)
{
    const auto prepared = prepare(sql);
    if (!prepared)
        return tl::unexpected<SqlError>(prepared.error());
    auto columns = readColumns(prepared->get());
    defaultTypesToText(columns);
    return columns;
}

SqlExpected<QueryResult> Database::execute(const SqlCommand& command)
{
    const auto prepared = prepare(command.sql);
    if (!prepared)
        return tl::unexpected<SqlError>(prepared.error());
    sqlite3_stmt* const statement = prepared->get();
    if (const auto bound = bind(statement, command); !bound)
        return tl::unexpected<SqlError>(bound.error());
    QueryResult result;
    result.set.columns = readColumns(statement);
    int step = sqlite3_step(statement);
    for (; step == SQLITE_ROW; step = sqlite3_step(statement))
        result.set.rows.push_back(readRow(statement, result.set.columns));
    if (step != SQLITE_DONE)
        return tl::unexpected<SqlError>(lastError());
    defaultTypesToText(result.set.columns);
    if (!sqlite3_stmt_readonly(statement))
        result.set.rowsAffected = sqlite3_changes(m_handle);
    result.tag = makeTag(command.sql, !result.set.columns.empty(), result.set);
    return result;
}

void Database::begin()
{
    runTransactionControl("BEGIN");
}

void Database::commit()
{
    runTransactionControl("COMMIT");
}

void Database::rollback()
{
    if (!sqlite3_get_autocommit(m_handle))
        runTransactionControl("ROLLBACK");
}

SqlExpected<Database::Prepared> Database::prepare(const std::string& sql)
{
    sqlite3_stmt* statement = nullptr;
    const char* rest = nullptr;
    m_isNondeterministic = false;
    if (sqlite3_prepare_v2(m_handle, sql.data(), static_cast<int>(sql.size()), &statement, &rest) != SQLITE_OK)
        return tl::unexpected<SqlError>(lastError());
    Prepared prepared(statement);
    if (!splitStatements(std::string(rest, sql.data() + sql.size())).empty())
        return makeSqlError(SqlState::syntax, "one statement is allowed here");
    if (!statement)
        return makeSqlError(SqlState::syntax, "there is no statement");
    if (m_isNondeterministic && !sqlite3_stmt_readonly(statement))
        return makeSqlError(SqlState::featureNotSupported, "a write must not depend on time or chance");
    return prepared;
}

SqlExpected<void> Database::bind(sqlite3_stmt* statement, const SqlCommand& command)
{
    for (int index = 1; index <= sqlite3_bind_parameter_count(statement); ++index) {
        const char* const name = sqlite3_bind_parameter_name(statement, index);
        const auto number = name && name[0] == '$' ? static_cast<std::size_t>(std::atoi(name + 1)) : 0;
        if (!number || number > command.parameters.size())
            return makeSqlError(SqlState::protocol, "there is no parameter for " + std::string(name ? name : "?"));
        if (bindParameter(statement, index, command.parameters[number - 1]) != SQLITE_OK)
            return tl::unexpected<SqlError>(lastError());
    }
    return {};
}

SqlError Database::lastError() const
{
    const std::string message = sqlite3_errmsg(m_handle);
    return { toSqlState(sqlite3_extended_errcode(m_handle), message), message };
}

void Database::runTransactionControl(const char* sql)
{
    m_allowsTransactionControl = true;
    const int done = sqlite3_exec(m_handle, sql, nullptr, nullptr, nullptr);
    m_allowsTransactionControl = false;
    AUBURNPOST_INVARIANT(done == SQLITE_OK, "SQLite can begin and end an in-memory transaction");
}

int Database::authorize(void* self, int action, const char*, const char* detail, const char*, const char*)
{
    auto& database = *static_cast<Database*>(self);
    switch (action) {
    case SQLITE_TRANSACTION:
        return database.m_allowsTransactionControl ? SQLITE_OK : SQLITE_DENY;
    case SQLITE_SAVEPOINT:
    case SQLITE_PRAGMA:
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
        return SQLITE_DENY;
    case SQLITE_FUNCTION:
        if (std::find(nondeterministicFunctions.begin(), nondeterministicFunctions.end(), detail)
            != nondeterministicFunctions.end())
            database.m_isNondeterministic = true;
        return SQLITE_OK;
    default:
        return SQLITE_OK;
    }
}

} // namespace Auburnpost::Standin
