#pragma once

#include "process/LoopbackSocket.h"

#include <cstdint>
#include <string>

namespace Auburnpost::Test {

/// A caller's session on a host. Waits a limited time for each answer.
class LineCaller {
public:
    /// Stands for the code of an error if there is no answer.
    inline static const std::string noAnswer { "-" };

    struct Answer {
        /// Code of the error; empty for a success.
        std::string error;
        /// The last row of a success.
        std::string row;
    };

    /// Opens a session for a database.
    LineCaller(std::uint16_t port, const std::string& database);

    /// @return whether the session was accepted and its connection lasts.
    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    /// @return code of the error by which the session was refused or has ended.
    [[nodiscard]] const std::string& error() const { return m_error; }
    /// Reads an item.
    Answer read(const std::string& id);
    /// Sends a statement. @return whether the host took it.
    [[nodiscard]] bool send(const std::string& id, const std::string& text);
    /// Waits for the answer to the last statement.
    Answer receive();

private:
    Answer lose();

    LoopbackSocket m_socket;
    SocketReader m_reader { m_socket };
    bool m_isOpen { false };
    std::string m_error { noAnswer };
};

} // namespace Auburnpost::Test
