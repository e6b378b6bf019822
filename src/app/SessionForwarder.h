#pragma once

#include "proxy/CallerSession.h"
#include "proxy/HostEntry.h"
#include "proxy/SessionRequest.h"
#include "wire/LineClients.h"

#include <sigc++/signal.h>

#include <unordered_map>

namespace Auburnpost {

/// Forwards the lines of callers' sessions to other hosts, and returns the answers.
class SessionForwarder {
public:
    /// Time within which the other host has to open the session: twice the round trip between regions, plus the
    /// processing time of a busy host.
    static constexpr Duration openTimeout = std::chrono::milliseconds(300);

    explicit SessionForwarder(event_base*);

    void open(Instant now, Proxy::SessionId, const Proxy::SessionRequest&, const Proxy::HostEntry&);
    [[nodiscard]] bool has(Proxy::SessionId id) const { return m_forwards.contains(id); }
    [[nodiscard]] std::size_t size() const { return m_forwards.size(); }
    /// @return whether a session was in an open transaction at its last answer.
    [[nodiscard]] bool isInTransaction(Proxy::SessionId) const;
    /// @return whether a session is open at the other host and outside a transaction.
    [[nodiscard]] bool isIdle(Proxy::SessionId) const;
    /// Sends a caller's line.
    void send(Proxy::SessionId, std::string_view line);
    /// States the session's route to the other host, which does not answer.
    void stateRoute(Proxy::SessionId, const Proxy::StatedRoute&);
    /// Closes the connection of a session whose caller has disconnected. Emits no signal.
    void close(Proxy::SessionId);
    /// Fails the sessions that are not opened within openTimeout.
    void tick(Instant now);
    /// Ends the session, also inside a transaction, once no request of it is open.
    void endAfterRequest(Proxy::SessionId);
    /// Ends the idle sessions now, and each other session as soon as it is idle.
    void closeIdle();
    /// Ends the sessions without an open request, also inside a transaction.
    void endSessionsWithoutRequest();

    /// Emitted for each line that is to be sent to the caller.
    sigc::signal<void(Proxy::SessionId, std::string_view line)>& answerLineReceived() { return m_answerLineReceived; }
    /// Emitted when an answer is complete and the caller's next line may be sent.
    sigc::signal<void(Proxy::SessionId)>& answerCompleted() { return m_answerCompleted; }
    /// Emitted when the other host answers a request with a failure, before the line is sent to the caller.
    /// @param statement id of the statement; "-" for the request to open the session.
    sigc::signal<void(Proxy::SessionId, const std::string& statement, const DatabaseName&, const HostName&,
        std::string_view failure)>&
    requestFailed()
    {
        return m_requestFailed;
    }
    /// Emitted when the other host did not open the session.
    /// @param isRefused whether it was reached and closed the connection.
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName&, bool isRefused)>& openFailed()
    {
        return m_openFailed;
    }
    /// Emitted when an open session has ended, by the other host or by closeIdle() or endSessionsWithoutRequest().
    /// @param hasOpenRequest whether the host closed the connection before it answered a request.
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName& host, bool hasOpenRequest)>& sessionEnded()
    {
        return m_sessionEnded;
    }

private:
    struct Forward {
        ConnectionId connection;
        Proxy::SessionRequest request;
        HostName host;
        Instant openedAt;
        /// The other host has answered the request to open the session, also by a refusal.
        bool isAnswered { false };
        bool hasOpenRequest { false };
        /// Id of the last statement.
        std::string statement { "-" };
        /// Whether the session ends with the answer to the open request.
        bool isEnding { false };
        Session::TransactionState state { Session::TransactionState::Idle };

        [[nodiscard]] bool isIdle() const
        {
            return isAnswered && !hasOpenRequest && state == Session::TransactionState::Idle;
        }
    };

    void onConnected(ConnectionId);
    void onLine(ConnectionId, std::string_view line);
    void onEnded(ConnectionId, Wire::DisconnectReason);
    void fail(Proxy::SessionId, bool isRefused);
    /// @param hasOpenRequest whether a request was left unanswered.
    void end(Proxy::SessionId, bool hasOpenRequest);

    Wire::LineClients m_connections;
    std::unordered_map<Proxy::SessionId, Forward> m_forwards;
    std::unordered_map<ConnectionId, Proxy::SessionId> m_sessionIds;
    std::uint64_t m_lastConnectionId { 0 };
    bool m_isClosingIdle { false };
    sigc::signal<void(Proxy::SessionId, std::string_view)> m_answerLineReceived;
    sigc::signal<void(Proxy::SessionId)> m_answerCompleted;
    sigc::signal<void(Proxy::SessionId, const std::string&, const DatabaseName&, const HostName&, std::string_view)>
        m_requestFailed;
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName&, bool)> m_openFailed;
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName&, bool)> m_sessionEnded;
};

} // namespace Auburnpost
