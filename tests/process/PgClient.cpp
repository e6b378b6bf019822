#include "process/PgClient.h"

namespace Auburnpost::Test {

namespace {

    PgAnswer read(PGresult* result)
    {
        PgAnswer answer;
        // libpq returns no result on a connection that it already knows to be lost.
        if (!result)
            return answer;
        const auto status = PQresultStatus(result);
        answer.succeeded = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
        const char* const state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        answer.sqlState = state ? state : "";
        answer.tag = PQcmdStatus(result);
        for (int column = 0; column < PQnfields(result); ++column) {
            answer.columns.emplace_back(PQfname(result, column));
            answer.types.push_back(PQftype(result, column));
        }
        for (int row = 0; row < PQntuples(result); ++row) {
            auto& values = answer.rows.emplace_back();
            for (int column = 0; column < PQnfields(result); ++column)
                values.push_back(PQgetisnull(result, row, column)
                        ? std::nullopt
                        : std::optional<std::string>(
                            std::string(PQgetvalue(result, row, column), PQgetlength(result, row, column))));
        }
        PQclear(result);
        return answer;
    }

} // namespace

std::string PgAnswer::singleValue() const
{
    return rows.size() == 1 && rows[0].size() == 1 ? rows[0][0].value_or("NULL") : "?";
}

PgClient::PgClient(std::uint16_t port, const std::string& database, const std::string& application)
    : m_connection(PQconnectdb(("host=127.0.0.1 user=host-1 sslmode=disable gssencmode=disable connect_timeout=5 port="
                       + std::to_string(port) + " dbname=" + database + " application_name=" + application)
                                   .c_str()),
        &PQfinish)
{
}

bool PgClient::isConnected() const
{
    return PQstatus(m_connection.get()) == CONNECTION_OK;
}

std::string PgClient::errorMessage() const
{
    return PQerrorMessage(m_connection.get());
}

PgAnswer PgClient::run(const std::string& sql, const std::vector<std::string>& parameters)
{
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const std::string& parameter : parameters)
        values.push_back(parameter.c_str());
    return read(PQexecParams(
        m_connection.get(), sql.c_str(), static_cast<int>(values.size()), nullptr, values.data(), nullptr, nullptr, 0));
}

PgAnswer PgClient::simpleQuery(const std::string& sql)
{
    return read(PQexec(m_connection.get(), sql.c_str()));
}

std::vector<PgAnswer> PgClient::pipeline(const std::vector<std::string>& statements)
{
    PQenterPipelineMode(m_connection.get());
    for (const std::string& sql : statements)
        PQsendQueryParams(m_connection.get(), sql.c_str(), 0, nullptr, nullptr, nullptr, nullptr, 0);
    PQpipelineSync(m_connection.get());
    std::vector<PgAnswer> answers;
    for (std::size_t index = 0; index < statements.size(); ++index) {
        answers.push_back(read(PQgetResult(m_connection.get())));
        PQgetResult(m_connection.get());
    }
    PQclear(PQgetResult(m_connection.get()));
    PQexitPipelineMode(m_connection.get());
    return answers;
}

void PgClient::send(const std::string& sql)
{
    PQsendQueryParams(m_connection.get(), sql.c_str(), 0, nullptr, nullptr, nullptr, nullptr, 0);
}

bool PgClient::hasAnswer()
{
    PQconsumeInput(m_connection.get());
    return !PQisBusy(m_connection.get());
}

PgAnswer PgClient::receive()
{
    PgAnswer answer;
    while (PGresult* const result = PQgetResult(m_connection.get()))
        answer = read(result);
    return answer;
}

std::string PgClient::parameterStatus(const char* name) const
{
    const char* const value = PQparameterStatus(m_connection.get(), name);
    return value ? value : "";
}

} // namespace Auburnpost::Test
