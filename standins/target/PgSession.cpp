#include "target/PgSession.h"

#include "target/PgReader.h"

#include <algorithm>

namespace Auburnpost::Standin {

namespace {

    constexpr std::uint32_t nullLength = 0xffffffff;

    std::vector<SqlValue> readValues(PgReader& reader)
    {
        std::vector<SqlValue> values(reader.int16());
        for (SqlValue& value : values) {
            const auto length = reader.int32();
            if (length != nullLength)
                value = std::string(reader.bytes(length));
        }
        return values;
    }

    bool readTextFormats(PgReader& reader)
    {
        bool allText = true;
        for (auto count = reader.int16(); count; --count)
            allText = reader.int16() == 0 && allText;
        return allText;
    }

    SqlExpected<std::vector<SqlParameter>> bindAll(
        const std::vector<SqlValue>& values, const std::vector<std::uint32_t>& types)
    {
        std::vector<SqlParameter> parameters;
        for (std::size_t index = 0; index < values.size(); ++index) {
            auto bound = bindText(values[index], index < types.size() ? types[index] : 0);
            if (!bound)
                return tl::unexpected<SqlError>(bound.error());
            parameters.push_back(std::move(*bound));
        }
        return parameters;
    }

} // namespace

PgSession::PgSession(
    std::shared_ptr<Executor> executor, std::function<void(std::string, bool)> send, std::function<void()> close)
    : m_executor(std::move(executor))
    , m_send(std::move(send))
    , m_close(std::move(close))
{
}

void PgSession::sendStartupMessages(std::uint32_t process)
{
    m_writer.authenticationOk();
    for (const auto& [name, value] : std::initializer_list<std::pair<const char*, const char*>> {
             { "server_version", "15.0" }, { "server_encoding", "UTF8" }, { "client_encoding", "UTF8" },
             { "DateStyle", "ISO, YMD" }, { "integer_datetimes", "on" }, { "standard_conforming_strings", "on" } })
        m_writer.parameterStatus(name, value);
    m_writer.backendKey(process, process);
    sendReady();
}

void PgSession::handle(char type, std::string_view body)
{
    static const std::map<char, Handler> handlers { { 'P', &PgSession::onParse }, { 'B', &PgSession::onBind },
        { 'D', &PgSession::onDescribe }, { 'E', &PgSession::onExecute }, { 'C', &PgSession::onClose },
        { 'S', &PgSession::onSync }, { 'H', &PgSession::onFlush }, { 'Q', &PgSession::onQuery },
        { 'X', &PgSession::onTerminate } };
    if (m_skipToSync && type != 'S' && type != 'X')
        return;
    const auto found = handlers.find(type);
    if (found == handlers.end()) {
        failAndSkipToSync({ SqlState::protocol, "unknown message" });
        return;
    }
    try {
        (this->*found->second)(body);
    } catch (const PgBadMessage& problem) {
        failAndSkipToSync({ SqlState::protocol, problem.what() });
    }
}

void PgSession::abandon()
{
    m_executor->abandon();
    m_executor.reset();
}

void PgSession::onParse(std::string_view body)
{
    PgReader reader(body);
    const std::string name = reader.text();
    PreparedStatement parsed { reader.text(), {} };
    for (auto count = reader.int16(); count; --count)
        parsed.types.push_back(reader.int32());
    m_statements[name] = std::move(parsed);
    m_writer.empty('1');
}

void PgSession::onBind(std::string_view body)
{
    PgReader reader(body);
    const std::string portal = reader.text();
    const PreparedStatement* const statement = findStatement(reader.text());
    if (!statement)
        return;
    const bool textParameters = readTextFormats(reader);
    const auto values = readValues(reader);
    if (!textParameters || !readTextFormats(reader)) {
        failAndSkipToSync({ SqlState::featureNotSupported, "only the text format is supported" });
        return;
    }
    auto parameters = bindAll(values, statement->types);
    if (!parameters) {
        failAndSkipToSync(parameters.error());
        return;
    }
    m_portals[portal] = { { statement->sql, std::move(*parameters) }, false };
    m_writer.empty('2');
}

void PgSession::onDescribe(std::string_view body)
{
    PgReader reader(body);
    const char kind = reader.byte();
    const std::string name = reader.text();
    if (kind == 'S') {
        if (const PreparedStatement* const statement = findStatement(name))
            describeStatement(*statement);
        return;
    }
    // The types of computed columns are known only after the portal has run, so it is described at Execute.
    if (Portal* const portal = findPortal(name))
        portal->describe = true;
}

void PgSession::onExecute(std::string_view body)
{
    PgReader reader(body);
    Portal* const portal = findPortal(reader.text());
    if (!portal)
        return;
    const Describe describe = std::exchange(portal->describe, false) ? Describe::Portal : Describe::No;
    m_busy = true;
    const auto executor = m_executor;
    executor->execute(portal->command, [this, describe](const SqlExpected<QueryResult>& result) {
        m_busy = false;
        sendResult(result, describe);
        notifyIdle();
    });
}

void PgSession::onClose(std::string_view body)
{
    PgReader reader(body);
    if (reader.byte() == 'S')
        m_statements.erase(reader.text());
    else
        m_portals.erase(reader.text());
    m_writer.empty('3');
}

void PgSession::onSync(std::string_view)
{
    for (auto& [name, portal] : m_portals) {
        if (std::exchange(portal.describe, false) && !m_skipToSync)
            describeColumns(portal.command.sql);
    }
    m_skipToSync = false;
    finishBatch();
}

void PgSession::onFlush(std::string_view)
{
    m_send(m_writer.takeBytes(), false);
}

void PgSession::onQuery(std::string_view body)
{
    PgReader reader(body);
    auto statements = splitStatements(reader.text());
    if (statements.empty())
        m_writer.empty('I');
    std::reverse(statements.begin(), statements.end());
    m_queries = std::move(statements);
    runNextQuery();
}

void PgSession::onTerminate(std::string_view)
{
    m_close();
}

void PgSession::runNextQuery()
{
    if (m_queries.empty()) {
        m_skipToSync = false;
        finishBatch();
        return;
    }
    const std::string sql = std::move(m_queries.back());
    m_queries.pop_back();
    m_busy = true;
    const auto executor = m_executor;
    executor->execute({ sql, {} }, [this](const SqlExpected<QueryResult>& result) {
        m_busy = false;
        sendResult(result, Describe::SimpleQuery);
        if (!result)
            m_queries.clear();
        runNextQuery();
        notifyIdle();
    });
}

PgSession::Portal* PgSession::findPortal(const std::string& name)
{
    const auto found = m_portals.find(name);
    if (found != m_portals.end())
        return &found->second;
    failAndSkipToSync({ SqlState::unknownPortal, "there is no such portal" });
    return nullptr;
}

const PgSession::PreparedStatement* PgSession::findStatement(const std::string& name)
{
    const auto found = m_statements.find(name);
    if (found != m_statements.end())
        return &found->second;
    failAndSkipToSync({ SqlState::unknownStatement, "there is no such statement" });
    return nullptr;
}

void PgSession::describeStatement(const PreparedStatement& statement)
{
    m_writer.parameterDescription(statement.types);
    describeColumns(statement.sql);
}

void PgSession::describeColumns(const std::string& sql)
{
    const auto columns = m_executor->describe(sql);
    if (!columns)
        failAndSkipToSync(columns.error());
    else if (columns->empty())
        m_writer.empty('n');
    else
        m_writer.rowDescription(*columns);
}

void PgSession::sendResult(const SqlExpected<QueryResult>& result, Describe describe)
{
    if (!result) {
        failAndSkipToSync(result.error());
        return;
    }
    const ResultSet& set = result->set;
    if (describe != Describe::No && !set.columns.empty())
        m_writer.rowDescription(set.columns);
    else if (describe == Describe::Portal)
        m_writer.empty('n');
    for (const auto& row : set.rows)
        m_writer.dataRow(row);
    if (result->tag.empty())
        m_writer.empty('I');
    else
        m_writer.commandComplete(result->tag);
}

void PgSession::failAndSkipToSync(const SqlError& sqlError)
{
    m_writer.error("ERROR", sqlError);
    m_skipToSync = true;
}

void PgSession::finishBatch()
{
    m_busy = true;
    const auto executor = m_executor;
    executor->sync([this](const SqlExpected<QueryResult>& result) {
        m_busy = false;
        if (!result)
            m_writer.error("ERROR", result.error());
        sendReady();
    });
}

void PgSession::sendReady()
{
    reportTargetStatus();
    m_writer.readyForQuery(m_executor->status());
    m_send(m_writer.takeBytes(), true);
}

void PgSession::reportTargetStatus()
{
    const TargetStatus& targetStatus = m_executor->targetStatus();
    const std::map<std::string, std::string> values { { "group_term", std::to_string(targetStatus.end.term.value()) },
        { "group_position", std::to_string(targetStatus.end.position.value()) },
        { "group_fenced", std::to_string(targetStatus.fencedTerm.value()) },
        { "group_role", std::string(toString(targetStatus.role)) } };
    for (const auto& [name, value] : values) {
        if (m_reportedStatus[name] != value)
            m_writer.parameterStatus(name, value);
    }
    m_reportedStatus = values;
}

void PgSession::notifyIdle()
{
    if (m_onIdle)
        m_onIdle();
}

} // namespace Auburnpost::Standin
