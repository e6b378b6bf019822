#include "wire/PostgresConnection.h"

#include "base/Invariant.h"

#include <array>
#include <charconv>

namespace Auburnpost::Wire {

namespace {

    constexpr const char* tooManyConnections = "53300";
    constexpr const char* adminShutdown = "57P01";

    std::string_view textOf(const char* text)
    {
        return text ? std::string_view(text) : std::string_view();
    }

    /// @return the text on one line, without the line ends that libpq appends.
    std::string oneLine(std::string_view text)
    {
        while (!text.empty() && text.back() == '\n')
            text.remove_suffix(1);
        std::string line(text);
        for (auto& letter : line) {
            if (letter == '\n')
                letter = ' ';
        }
        return line;
    }

    bool readNumber(std::string_view text, std::uint64_t& number)
    {
        const auto* const end = text.data() + text.size();
        const auto [rest, problem] = std::from_chars(text.data(), end, number);
        return problem == std::errc {} && rest == end;
    }

    bool readRole(std::string_view text, TargetRole& role)
    {
        for (const auto candidate : { TargetRole::Replica, TargetRole::Primary, TargetRole::Fenced }) {
            if (text == toString(candidate)) {
                role = candidate;
                return true;
            }
        }
        return false;
    }

    ResultSet readResult(const PGresult* result)
    {
        ResultSet set;
        const int columnCount = PQnfields(result);
        const int rowCount = PQntuples(result);
        set.columns.reserve(static_cast<std::size_t>(columnCount));
        for (int column = 0; column < columnCount; ++column)
            set.columns.push_back({ PQfname(result, column), PQftype(result, column) });
        set.rows.resize(static_cast<std::size_t>(rowCount));
        for (int row = 0; row < rowCount; ++row) {
            auto& values = set.rows[static_cast<std::size_t>(row)];
            values.reserve(static_cast<std::size_t>(columnCount));
            for (int column = 0; column < columnCount; ++column) {
                if (PQgetisnull(result, row, column))
                    values.emplace_back();
                else
                    values.emplace_back(std::string(
                        PQgetvalue(result, row, column), static_cast<std::size_t>(PQgetlength(result, row, column))));
            }
        }
        readNumber(textOf(PQcmdTuples(const_cast<PGresult*>(result))), set.rowsAffected);
        return set;
    }

    PGconn* startConnection(const PostgresConnectionSettings& settings)
    {
        const auto port = std::to_string(settings.address.port);
        // A host that freezes in the middle of a transaction must not keep its locks.
        const auto options
            = "-c idle_in_transaction_session_timeout=" + std::to_string(toMilliseconds(idleTransactionTimeout));
        const std::array names { "hostaddr", "port", "dbname", "user", "application_name", "sslmode", "gssencmode",
            "client_encoding", "options", static_cast<const char*>(nullptr) };
        const std::array values { settings.address.ip.c_str(), port.c_str(), settings.database.value().c_str(),
            settings.user.c_str(), settings.applicationName.c_str(), "disable", "disable", "UTF8", options.c_str(),
            static_cast<const char*>(nullptr) };
        return PQconnectStartParams(names.data(), values.data(), 0);
    }

} // namespace

PostgresConnection::PostgresConnection(PostgresConnectionSettings settings)
    : m_settings(std::move(settings))
    , m_connection(startConnection(m_settings))
{
    AUBURNPOST_INVARIANT(m_connection != nullptr, "libpq could allocate the connection");
    // The SQLSTATE of a failed connection attempt is only part of the verbose text.
    PQsetErrorVerbosity(m_connection.get(), PQERRORS_VERBOSE);
    PQsetNoticeReceiver(m_connection.get(), &PostgresConnection::onNotice, this);
    m_interest = { false, true };
}

void PostgresConnection::onNotice(void* context, const PGresult* notice)
{
    auto& self = *static_cast<PostgresConnection*>(context);
    const auto state = textOf(PQresultErrorField(notice, PG_DIAG_SQLSTATE));
    const auto* const fixedSeverity = PQresultErrorField(notice, PG_DIAG_SEVERITY_NONLOCALIZED);
    const auto severity = textOf(fixedSeverity ? fixedSeverity : PQresultErrorField(notice, PG_DIAG_SEVERITY));
    // Notices by libpq itself have no SQLSTATE; they report unexpected messages.
    if (state.empty())
        self.m_protocolError = oneLine(textOf(PQresultErrorField(notice, PG_DIAG_MESSAGE_PRIMARY)));
    else if (severity == "FATAL" || severity == "PANIC")
        self.m_endSqlState = state;
}

Error PostgresConnection::makeError(ErrorCode code, std::string message) const
{
    return { code, m_state == State::Open ? "connection" : "connect", m_settings.target.value(), std::move(message) };
}

Error PostgresConnection::protocolError(std::string message) const
{
    return makeError(ErrorCode::BadMessage, std::move(message));
}

Error PostgresConnection::connectionError() const
{
    const auto message = oneLine(textOf(PQerrorMessage(m_connection.get())));
    const auto hasEndedWith = [&](const char* state) {
        return m_endSqlState == state || message.find(std::string(":  ") + state + ": ") != std::string::npos;
    };
    if (hasEndedWith(tooManyConnections))
        return makeError(ErrorCode::TooManyConnections, message);
    if (hasEndedWith(adminShutdown))
        return makeError(ErrorCode::Leaving, message);
    if (message.find("Connection refused") != std::string::npos)
        return makeError(ErrorCode::ConnectionRefused, message);
    return makeError(ErrorCode::ConnectionLost, message);
}

ConnectionProgress PostgresConnection::advance()
{
    return m_state == State::Connecting ? advanceConnecting() : advanceOpen();
}

ConnectionProgress PostgresConnection::advanceConnecting()
{
    if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        return connectionError();
    switch (PQconnectPoll(m_connection.get())) {
    case PGRES_POLLING_READING:
        m_interest = { true, false };
        return {};
    case PGRES_POLLING_WRITING:
        m_interest = { false, true };
        return {};
    case PGRES_POLLING_OK:
        return finishOpening();
    default:
        return connectionError();
    }
}

ConnectionProgress PostgresConnection::finishOpening()
{
    if (PQsetnonblocking(m_connection.get(), 1) || !PQenterPipelineMode(m_connection.get()))
        return connectionError();
    const auto currentStatus = readStatus();
    if (!currentStatus)
        return currentStatus.error();
    m_state = State::Open;
    m_interest = { true, false };
    return PostgresConnectionOpened { *currentStatus };
}

Expected<TargetStatus> PostgresConnection::readStatus() const
{
    const auto parameter = [this](const char* name) { return textOf(PQparameterStatus(m_connection.get(), name)); };
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::uint64_t fenced = 0;
    TargetStatus status;
    if (!readNumber(parameter("group_term"), term) || !readNumber(parameter("group_position"), position)
        || !readNumber(parameter("group_fenced"), fenced) || !readRole(parameter("group_role"), status.role))
        return tl::unexpected<Error>(protocolError("the target does not tell its standing"));
    status.end = { Term(term), Position(position) };
    status.fencedTerm = Term(fenced);
    return status;
}

Expected<void> PostgresConnection::send(const TargetCommand& command)
{
    AUBURNPOST_INVARIANT(
        isOpen() && !m_inFlight, "a command is sent on an open connection without a command in flight");
    AUBURNPOST_INVARIANT(!command.statements.empty(), "a command has at least one statement");
    m_inFlight.emplace();
    m_inFlight->answer.connection = command.connection;
    m_inFlight->answer.command = command.command;
    m_inFlight->statementCount = command.statements.size();
    for (const auto& statement : command.statements) {
        std::vector<const char*> values;
        values.reserve(statement.parameters.size());
        for (const auto& parameter : statement.parameters)
            values.push_back(parameter ? parameter->c_str() : nullptr);
        if (!PQsendQueryParams(m_connection.get(), statement.sql.c_str(), static_cast<int>(values.size()), nullptr,
                values.data(), nullptr, nullptr, 0))
            return tl::unexpected<Error>(connectionError());
    }
    if (!PQpipelineSync(m_connection.get()))
        return tl::unexpected<Error>(connectionError());
    return flush();
}

Expected<void> PostgresConnection::flush()
{
    const int unsent = PQflush(m_connection.get());
    if (unsent < 0)
        return tl::unexpected<Error>(connectionError());
    m_interest = { true, unsent > 0 };
    return {};
}

ConnectionProgress PostgresConnection::advanceOpen()
{
    if (!PQconsumeInput(m_connection.get())) {
        // Results received before the end may hold the reason why the target ended the connection.
        while (m_inFlight && !PQisBusy(m_connection.get())) {
            const ResultPointer result(PQgetResult(m_connection.get()));
            if (result)
                onNotice(this, result.get());
            else
                break;
        }
        return connectionError();
    }
    const auto flushed = flush();
    if (!flushed)
        return flushed.error();
    return readResults();
}

ConnectionProgress PostgresConnection::readResults()
{
    while (!PQisBusy(m_connection.get()) && m_protocolError.empty() && m_inFlight) {
        const ResultPointer result(PQgetResult(m_connection.get()));
        if (!result)
            continue;
        if (PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC) {
            auto answer = finishCommand();
            return answer ? ConnectionProgress(std::move(*answer)) : ConnectionProgress(answer.error());
        }
        const auto handled = handleResult(result.get());
        if (!handled)
            return handled.error();
    }
    if (!m_protocolError.empty())
        return protocolError(m_protocolError);
    if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        return connectionError();
    return {};
}

Expected<void> PostgresConnection::handleResult(const PGresult* result)
{
    auto& current = *m_inFlight;
    if (current.completedCount() >= current.statementCount)
        return tl::unexpected<Error>(protocolError("more results than statements"));
    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
        if (current.answer.fault)
            return tl::unexpected<Error>(protocolError("a result after a failed statement"));
        current.answer.results.push_back(readResult(result));
        return {};
    case PGRES_FATAL_ERROR:
        return handleFault(result);
    case PGRES_PIPELINE_ABORTED:
        if (!current.answer.fault)
            return tl::unexpected<Error>(protocolError("an aborted statement before a failed one"));
        ++current.abortedCount;
        return {};
    default:
        return tl::unexpected<Error>(
            protocolError(std::string("a result of kind ") + PQresStatus(PQresultStatus(result))));
    }
}

Expected<void> PostgresConnection::handleFault(const PGresult* result)
{
    onNotice(this, result);
    if (PQstatus(m_connection.get()) == CONNECTION_BAD || !m_endSqlState.empty())
        return tl::unexpected<Error>(connectionError());
    if (m_inFlight->answer.fault)
        return tl::unexpected<Error>(protocolError("a second failure in one command"));
    m_inFlight->answer.fault = TargetFault { std::string(textOf(PQresultErrorField(result, PG_DIAG_SQLSTATE))),
        std::string(textOf(PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY))) };
    return {};
}

Expected<TargetAnswer> PostgresConnection::finishCommand()
{
    auto current = std::move(*m_inFlight);
    m_inFlight.reset();
    if (current.completedCount() != current.statementCount)
        return tl::unexpected<Error>(protocolError("fewer results than statements"));
    auto currentStatus = readStatus();
    if (!currentStatus)
        return tl::unexpected<Error>(currentStatus.error());
    current.answer.targetStatus = *currentStatus;
    return std::move(current.answer);
}

} // namespace Auburnpost::Wire
