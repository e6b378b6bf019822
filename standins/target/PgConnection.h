#pragma once

#include "common/DelayLine.h"
#include "common/EventLoop.h"
#include "target/PgSession.h"

#include <memory>

struct bufferevent;

namespace Auburnpost::Standin {

class PgServer;

/// One client connection: its bytes with their delay, its start, and the framing of messages.
class PgConnection {
public:
    PgConnection(PgServer&, std::uint64_t id, int descriptor);
    ~PgConnection();
    PgConnection(const PgConnection&) = delete;
    PgConnection& operator=(const PgConnection&) = delete;

    [[nodiscard]] std::uint64_t id() const { return m_id; }
    /// @return whether it counts towards the cap.
    [[nodiscard]] bool admitted() const { return m_admitted; }
    /// @return the client's host name; empty until it has told it.
    [[nodiscard]] const std::string& peer() const { return m_peer; }
    /// Holds or frees the traffic of both directions as the faults in force say.
    void applyFaults();
    /// Rolls back and closes; the object goes away later.
    void close();

private:
    static void onRead(bufferevent*, void* self);
    static void onWritten(bufferevent*, void* self);
    static void onEvent(bufferevent*, short events, void* self);

    void receive(const std::string& bytes);
    void pump();
    /// @return whether a whole message was there and was taken.
    bool takeMessage();
    bool takeStartup();
    void start(std::string_view parameters);
    void admit(const std::map<std::string, std::string>& parameters);
    void reject(const SqlFault&);
    void greet();
    void send(std::string bytes, bool isWholeAnswer);
    void writeOut(const std::string& bytes);
    void watchIdle(const std::string& answer);

    PgServer& m_server;
    std::uint64_t m_id;
    bufferevent* m_stream;
    std::shared_ptr<PgSession> m_session;
    /// Ends a connection that leaves a transaction open without a word.
    Timer m_idleInTransaction;
    Duration m_idleLimit {};
    DelayLine m_inbound;
    DelayLine m_outbound;
    std::string m_input;
    std::string m_peer;
    bool m_startedUp { false };
    bool m_greeted { false };
    bool m_admitted { false };
    bool m_inputEnded { false };
    bool m_closing { false };
    bool m_lastWritten { false };
    bool m_closed { false };
    bool m_pumping { false };
};

} // namespace Auburnpost::Standin
