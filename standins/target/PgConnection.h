#pragma once

#include "common/DelayLine.h"
#include "common/EventLoop.h"
#include "target/PgSession.h"

#include <memory>

struct bufferevent;

namespace Auburnpost::Standin {

class PgServer;

/// A client connection: network delay, startup, and the framing of messages.
class PgConnection {
public:
    PgConnection(PgServer&, std::uint64_t id, int descriptor);
    ~PgConnection();
    PgConnection(const PgConnection&) = delete;
    PgConnection& operator=(const PgConnection&) = delete;

    [[nodiscard]] std::uint64_t id() const { return m_id; }
    /// @return whether the connection counts towards the connection limit.
    [[nodiscard]] bool isAdmitted() const { return m_admitted; }
    /// @return the host name of the client; empty until its startup packet has arrived.
    [[nodiscard]] const std::string& peer() const { return m_peer; }
    /// Pauses or resumes the traffic in both directions according to the active faults.
    void applyFaults();
    /// Rolls back the transaction and closes the connection. The object is freed after the current event.
    void close();

private:
    static void onRead(bufferevent*, void* self);
    static void onWritten(bufferevent*, void* self);
    static void onEvent(bufferevent*, short events, void* self);

    void receive(const std::string& bytes);
    /// Handles all complete messages in the input, and closes the connection at the end of the stream.
    void processInput();
    /// Handles one message, if it has arrived completely.
    /// @return whether a message was handled.
    bool handleNextMessage();
    /// Handles one startup or encryption request, if it has arrived completely.
    /// @return whether a request was handled.
    bool handleStartup();
    void start(std::string_view parameters);
    /// Applies the startup parameters, then rejects the client or begins its session after the connect time.
    void admit(const std::map<std::string, std::string>& parameters);
    void reject(const SqlError&);
    void beginSession();
    void send(std::string bytes, bool isWholeAnswer);
    void writeOut(const std::string& bytes);
    void startIdleTimer(const std::string& answer);

    PgServer& m_server;
    std::uint64_t m_id;
    bufferevent* m_stream;
    std::shared_ptr<PgSession> m_session;
    /// Closes a connection that stays idle in a transaction for longer than m_idleLimit.
    Timer m_idleTimer;
    /// Zero for no limit.
    Duration m_idleLimit {};
    DelayLine m_inbound;
    DelayLine m_outbound;
    std::string m_input;
    std::string m_peer;
    bool m_startupReceived { false };
    bool m_sessionBegun { false };
    bool m_admitted { false };
    bool m_inputEnded { false };
    /// The client was rejected; the connection closes once the error is sent.
    bool m_closing { false };
    /// The last bytes before the close were passed to the stream.
    bool m_lastBytesQueued { false };
    bool m_closed { false };
    bool m_isProcessing { false };
};

} // namespace Auburnpost::Standin
