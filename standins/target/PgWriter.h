#pragma once

#include "target/SqlCommand.h"

#include <string>
#include <string_view>

namespace Auburnpost::Standin {

/// Encodes the messages of a server in version 3 of PostgreSQL's protocol.
class PgWriter {
public:
    /// A message without a body.
    void empty(char type);
    void authenticationOk();
    void parameterStatus(std::string_view name, std::string_view value);
    void backendKey(std::uint32_t process, std::uint32_t secret);
    void readyForQuery(char transactionStatus);
    void rowDescription(const std::vector<Column>&);
    void parameterDescription(const std::vector<std::uint32_t>& types);
    void dataRow(const std::vector<SqlValue>&);
    void commandComplete(std::string_view tag);
    /// @param severity "ERROR", or "FATAL" when the server closes the connection.
    void error(std::string_view severity, const SqlError&);

    /// @return the bytes written since the last call.
    std::string takeBytes();

private:
    void start(char type);
    void finish();
    void int16(std::size_t);
    void int32(std::uint32_t);
    void text(std::string_view);

    std::string m_bytes;
    /// Offset of the current message's length field.
    std::size_t m_lengthOffset { 0 };
};

} // namespace Auburnpost::Standin
