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
    /// PostgreSQL's code of the failure; empty when the connection was lost.
    std::string state;
    std::string tag;
    std::vector<std::string> columns;
    std::vector<Oid> types;
    std::vector<std::vector<std::optional<std::string>>> rows;

    /// @return the one value of the one row; "?" for an answer of another shape.
    [[nodiscard]] std::string single() const;
};

/// A libpq connection to a target.
class PgClient {
public:
    /// @param application sent as application_name, "HOST/DATA-CENTRE".
    PgClient(std::uint16_t port, const std::string& database, const std::string& application = "host-1/west-colombo");

    [[nodiscard]] bool connected() const;
    /// @return the connection's error text.
    [[nodiscard]] std::string problem() const;
    /// Runs one statement by the extended query messages.
    PgAnswer run(const std::string& sql, const std::vector<std::string>& parameters = {});
    /// Runs statements by one simple query. @return the answer to the last.
    PgAnswer simple(const std::string& sql);
    /// Sends statements in one pipeline. @return one answer each.
    std::vector<PgAnswer> pipeline(const std::vector<std::string>& statements);
    /// Sends a statement without waiting.
    void send(const std::string& sql);
    /// @return whether the answer to what was sent has come.
    bool answered();
    /// Waits for the answer to send().
    PgAnswer receive();
    /// @return a parameter of the standing, such as "group_role".
    [[nodiscard]] std::string standing(const char* name) const;

private:
    std::unique_ptr<PGconn, decltype(&PQfinish)> m_connection;
};

} // namespace Auburnpost::Test
