#include "wire/TargetLink.h"

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

    /// @return the text on one line, without the line end that libpq adds.
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

    PGconn* startConnection(const TargetLinkSettings& settings)
    {
        const auto port = std::to_string(settings.address.port);
        // A host that is frozen in the middle of a transaction must not keep its locks.
        const auto options
            = "-c idle_in_transaction_session_timeout=" + std::to_string(toMilliseconds(idleTransactionLimit));
        const std::array names { "hostaddr", "port", "dbname", "user", "application_name", "sslmode", "gssencmode",
            "client_encoding", "options", static_cast<const char*>(nullptr) };
        const std::array values { settings.address.ip.c_str(), port.c_str(), settings.database.value().c_str(),
            settings.user.c_str(), settings.applicationName.c_str(), "disable", "disable", "UTF8", options.c_str(),
            static_cast<const char*>(nullptr) };
        return PQconnectStartParams(names.data(), values.data(), 0);
    }

} // namespace

TargetLink::TargetLink(TargetLinkSettings settings)
    : m_settings(std::move(settings))
    , m_connection(startConnection(m_settings))
{
    AUBURNPOST_INVARIANT(m_connection != nullptr, "libpq has memory for a connection");
    // A failure to connect carries its five-character code only in the verbose text.
    PQsetErrorVerbosity(m_connection.get(), PQERRORS_VERBOSE);
    PQsetNoticeReceiver(m_connection.get(), &TargetLink::onNotice, this);
    m_interest = { false, true };
}

void TargetLink::onNotice(void* link, const PGresult* notice)
{
    auto& self = *static_cast<TargetLink*>(link);
    const auto state = textOf(PQresultErrorField(notice, PG_DIAG_SQLSTATE));
    const auto* const fixedSeverity = PQresultErrorField(notice, PG_DIAG_SEVERITY_NONLOCALIZED);
    const auto severity = textOf(fixedSeverity ? fixedSeverity : PQresultErrorField(notice, PG_DIAG_SEVERITY));
    // libpq's own notices have no code: they tell of messages that it did not expect.
    if (state.empty())
        self.m_surprise = oneLine(textOf(PQresultErrorField(notice, PG_DIAG_MESSAGE_PRIMARY)));
    else if (severity == "FATAL" || severity == "PANIC")
        self.m_endState = state;
}

Error TargetLink::failure(ErrorCode code, std::string message) const
{
    return { code, m_state == State::Open ? "connection" : "connect", m_settings.target.value(), std::move(message) };
}

Error TargetLink::surprise(std::string message) const
{
    return failure(ErrorCode::BadMessage, std::move(message));
}

Error TargetLink::connectionFailure() const
{
    const auto message = oneLine(textOf(PQerrorMessage(m_connection.get())));
    const auto ended = [&](const char* state) {
        return m_endState == state || message.find(std::string(":  ") + state + ": ") != std::string::npos;
    };
    if (ended(tooManyConnections))
        return failure(ErrorCode::TooManyConnections, message);
    if (ended(adminShutdown))
        return failure(ErrorCode::Leaving, message);
    if (message.find("Connection refused") != std::string::npos)
        return failure(ErrorCode::ConnectionRefused, message);
    return failure(ErrorCode::ConnectionLost, message);
}

LinkProgress TargetLink::advance()
{
    return m_state == State::Connecting ? advanceConnecting() : advanceOpen();
}

LinkProgress TargetLink::advanceConnecting()
{
    if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        return connectionFailure();
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
        return connectionFailure();
    }
}

LinkProgress TargetLink::finishOpening()
{
    if (PQsetnonblocking(m_connection.get(), 1) || !PQenterPipelineMode(m_connection.get()))
        return connectionFailure();
    const auto now = standing();
    if (!now)
        return now.error();
    m_state = State::Open;
    m_interest = { true, false };
    return LinkOpened { *now };
}

Expected<TargetStanding> TargetLink::standing() const
{
    const auto parameter = [this](const char* name) { return textOf(PQparameterStatus(m_connection.get(), name)); };
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::uint64_t fenced = 0;
    TargetStanding standing;
    if (!readNumber(parameter("group_term"), term) || !readNumber(parameter("group_position"), position)
        || !readNumber(parameter("group_fenced"), fenced) || !readRole(parameter("group_role"), standing.role))
        return tl::unexpected<Error>(surprise("the target does not tell its standing"));
    standing.end = { Term(term), Position(position) };
    standing.fencedTerm = Term(fenced);
    return standing;
}

Expected<void> TargetLink::send(const TargetCommand& command)
{
    AUBURNPOST_INVARIANT(isOpen() && !m_flight, "one command is in flight on an open connection");
    AUBURNPOST_INVARIANT(!command.statements.empty(), "a command has a statement");
    m_flight.emplace();
    m_flight->answer.connection = command.connection;
    m_flight->answer.command = command.command;
    m_flight->statementCount = command.statements.size();
    for (const auto& statement : command.statements) {
        std::vector<const char*> values;
        values.reserve(statement.parameters.size());
        for (const auto& parameter : statement.parameters)
            values.push_back(parameter ? parameter->c_str() : nullptr);
        if (!PQsendQueryParams(m_connection.get(), statement.sql.c_str(), static_cast<int>(values.size()), nullptr,
                values.data(), nullptr, nullptr, 0))
            return tl::unexpected<Error>(connectionFailure());
    }
    if (!PQpipelineSync(m_connection.get()))
        return tl::unexpected<Error>(connectionFailure());
    return flush();
}

Expected<void> TargetLink::flush()
{
    const int left = PQflush(m_connection.get());
    if (left < 0)
        return tl::unexpected<Error>(connectionFailure());
    m_interest = { true, left > 0 };
    return {};
}

LinkProgress TargetLink::advanceOpen()
{
    if (!PQconsumeInput(m_connection.get())) {
        // What arrived before the end may say why the target ended the connection.
        while (m_flight && !PQisBusy(m_connection.get())) {
            const ResultPointer result(PQgetResult(m_connection.get()));
            if (result)
                onNotice(this, result.get());
            else
                break;
        }
        return connectionFailure();
    }
    const auto flushed = flush();
    if (!flushed)
        return flushed.error();
    return readResults();
}

LinkProgress TargetLink::readResults()
{
    while (!PQisBusy(m_connection.get()) && m_surprise.empty() && m_flight) {
        const ResultPointer result(PQgetResult(m_connection.get()));
        if (!result)
            continue;
        if (PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC) {
            auto answer = finishFlight();
            return answer ? LinkProgress(std::move(*answer)) : LinkProgress(answer.error());
        }
        const auto taken = take(result.get());
        if (!taken)
            return taken.error();
    }
    if (!m_surprise.empty())
        return surprise(m_surprise);
    if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        return connectionFailure();
    return {};
}

Expected<void> TargetLink::take(const PGresult* result)
{
    auto& flight = *m_flight;
    if (flight.accounted() >= flight.statementCount)
        return tl::unexpected<Error>(surprise("more results than statements"));
    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
        if (flight.answer.fault)
            return tl::unexpected<Error>(surprise("a result after a failed statement"));
        flight.answer.results.push_back(readResult(result));
        return {};
    case PGRES_FATAL_ERROR:
        return takeFault(result);
    case PGRES_PIPELINE_ABORTED:
        if (!flight.answer.fault)
            return tl::unexpected<Error>(surprise("an aborted statement before a failed one"));
        ++flight.abortedCount;
        return {};
    default:
        return tl::unexpected<Error>(surprise(std::string("a result of kind ") + PQresStatus(PQresultStatus(result))));
    }
}

Expected<void> TargetLink::takeFault(const PGresult* result)
{
    onNotice(this, result);
    if (PQstatus(m_connection.get()) == CONNECTION_BAD || !m_endState.empty())
        return tl::unexpected<Error>(connectionFailure());
    if (m_flight->answer.fault)
        return tl::unexpected<Error>(surprise("a second failure in one command"));
    m_flight->answer.fault = TargetFault { std::string(textOf(PQresultErrorField(result, PG_DIAG_SQLSTATE))),
        std::string(textOf(PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY))) };
    return {};
}

Expected<TargetAnswer> TargetLink::finishFlight()
{
    auto flight = std::move(*m_flight);
    m_flight.reset();
    if (flight.accounted() != flight.statementCount)
        return tl::unexpected<Error>(surprise("fewer results than statements"));
    auto now = standing();
    if (!now)
        return tl::unexpected<Error>(now.error());
    flight.answer.standing = *now;
    return std::move(flight.answer);
}

} // namespace Auburnpost::Wire
