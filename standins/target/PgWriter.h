#pragma once

#include "target/SqlCommand.h"

#include <string>
#include <string_view>

namespace Auburnpost::Standin {

/// Writes the messages that a server sends in PostgreSQL's protocol, version 3.
class PgWriter {
public:
    /// A message without a body.
    void empty(char type);
    /// AuthenticationOk.
    void authenticationOk();
    void parameterStatus(std::string_view name, std::string_view value);
    void backendKey(std::uint32_t process, std::uint32_t secret);
    void readyForQuery(char transactionStatus);
    void rowDescription(const std::vector<Column>&);
    void parameterDescription(const std::vector<std::uint32_t>& types);
    void dataRow(const std::vector<SqlValue>&);
    void commandComplete(std::string_view tag);
    /// @param severity "ERROR", or "FATAL" when the connection ends.
    void error(std::string_view severity, const SqlFault&);

    /// @return everything written since the last call.
    std::string take();

private:
    void start(char type);
    void finish();
    void int16(std::size_t);
    void int32(std::uint32_t);
    void text(std::string_view);

    std::string m_bytes;
    std::size_t m_start { 0 };
};

} // namespace Auburnpost::Standin
