#pragma once

#include <cstdint>
#include <libpq-fe.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Test {

struct PgAnswer {
    bool succeeded { false };
    /// SQLSTATE of the failure; empty when the connection was lost.
    std::string sqlState;
    std::string tag;
    std::vector<std::string> columns;
    std::vector<Oid> types;
    std::vector<std::vector<std::optional<std::string>>> rows;

    /// @return the value of an answer with one row and one column, "NULL" for a null; "?" for any other shape.
    [[nodiscard]] std::string singleValue() const;
};

/// A connection to a target through libpq.
class PgClient {
public:
    /// @param application sent as application_name, "HOST/DATA-CENTRE".
    PgClient(std::uint16_t port, const std::string& database, const std::string& application = "host-1/west-colombo");

    [[nodiscard]] bool isConnected() const;
    /// @return the connection's error text.
    [[nodiscard]] std::string errorMessage() const;
    /// Runs one statement by the extended query protocol.
    PgAnswer run(const std::string& sql, const std::vector<std::string>& parameters = {});
    /// Runs statements in one simple query. @return the answer to the last statement.
    PgAnswer simpleQuery(const std::string& sql);
    /// Runs statements in one pipeline. @return one answer for each statement.
    std::vector<PgAnswer> pipeline(const std::vector<std::string>& statements);
    /// Sends a statement without waiting for its answer.
    void send(const std::string& sql);
    /// @return whether the answer to send() has arrived.
    bool hasAnswer();
    /// Waits for the answer to send().
    PgAnswer receive();
    /// @return the last value that the target reported for a parameter, such as "group_role"; empty for none.
    [[nodiscard]] std::string parameterStatus(const char* name) const;

private:
    std::unique_ptr<PGconn, decltype(&PQfinish)> m_connection;
};

} // namespace Auburnpost::Test
