#pragma once

#include "wire/RawServer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Implements as much of PostgreSQL's protocol as a test needs to script each reply.
class FakeTarget {
public:
    using Reply = RawServer::Reply;
    /// Returns the reply to the statements of one pipeline.
    using Script = std::function<Reply(const std::vector<std::string>& statements)>;

    explicit FakeTarget(event_base*);

    [[nodiscard]] const Auburnpost::SocketAddress& address() const { return m_server.address(); }
    /// Sets the reply to the start-up message of a connection.
    void setGreeting(Reply greeting) { m_greeting = std::move(greeting); }
    void setScript(Script script) { m_script = std::move(script); }
    /// Sends unsolicited bytes on every connection and closes it if the reply requires that.
    void push(const Reply& reply) { m_server.push(reply); }
    /// Stops listening; open connections stay open.
    void stopListening() { m_server.stopListening(); }
    /// @return the parameters of the last start-up message, NUL-separated.
    [[nodiscard]] const std::string& startup() const { return m_startup; }

    // Messages of the protocol
    static std::string status(int term, int position, int fenced, const std::string& role);
    static std::string parameter(const std::string& name, const std::string& value);
    static std::string greeting();
    /// The reply to one statement that has one row of text columns; "\\N" is NULL.
    static std::string row(const std::vector<std::string>& values, const std::string& tag = "SELECT 1");
    /// The reply to one statement without rows.
    static std::string done(const std::string& tag);
    static std::string fault(
        const std::string& state, const std::string& message, const std::string& severity = "ERROR");
    static std::string ready();

private:
    struct Progress {
        bool started { false };
        std::vector<std::string> statements;
    };

    void onBytes(RawServer::Session&);
    bool handleMessage(RawServer::Session&);

    Reply m_greeting { greeting() };
    Script m_script;
    std::string m_startup;
    std::map<std::size_t, Progress> m_progress;
    RawServer m_server;
};
