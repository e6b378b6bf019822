#pragma once

#include "base/SocketAddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Speaks just enough of PostgreSQL's protocol for a test to script each reply.
class FakeTarget {
public:
    /// What to do with the statements of one pipeline: send these bytes, then perhaps close.
    struct Reply {
        std::string bytes;
        bool thenClose { false };
    };
    using Script = std::function<Reply(const std::vector<std::string>& statements)>;

    explicit FakeTarget(event_base*);

    [[nodiscard]] const Auburnpost::SocketAddress& address() const { return m_address; }
    /// What a connection is greeted with.
    void setGreeting(Reply greeting) { m_greeting = std::move(greeting); }
    void setScript(Script script) { m_script = std::move(script); }
    /// Sends bytes unasked on every connection, then closes them when told to.
    void push(const Reply&);
    /// Stops to listen; what is open stays.
    void stopListening() { m_listener.reset(); }
    /// @return the parameters of the last start-up message, NUL-separated.
    [[nodiscard]] const std::string& startup() const { return m_startup; }

    // Messages of the protocol.
    static std::string standing(int term, int position, int fenced, const std::string& role);
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
    struct Session;
    struct Callbacks;

    void onBytes(Session&);
    bool takeMessage(Session&);
    void send(Session&, const Reply&);

    Auburnpost::SocketAddress m_address;
    Reply m_greeting { greeting() };
    Script m_script;
    std::string m_startup;
    std::vector<std::shared_ptr<Session>> m_sessions;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> m_listener;
};
