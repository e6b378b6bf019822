#pragma once

#include "proxy/CallerSession.h"
#include "proxy/HostEntry.h"
#include "wire/LineLinks.h"

#include <sigc++/signal.h>

#include <unordered_map>

namespace Auburnpost {

/// Passes the lines of callers' sessions on to other hosts, and their answers back.
class SessionForwarder {
public:
    /// The other host has to open the session within this; twice the round trip between regions, with what a busy host
    /// takes.
    static constexpr Duration openLimit = std::chrono::milliseconds(300);

    explicit SessionForwarder(event_base*);

    void open(Instant now, Proxy::SessionId, const DatabaseName&, const Proxy::HostEntry&);
    [[nodiscard]] bool has(Proxy::SessionId id) const { return m_forwards.contains(id); }
    [[nodiscard]] std::size_t size() const { return m_forwards.size(); }
    void send(Proxy::SessionId, std::string_view line);
    /// The caller is gone.
    void close(Proxy::SessionId);
    /// Gives up what is not opened in time.
    void tick(Instant now);
    /// Ends each session as soon as it is idle, now and from here on.
    void closeIdle();
    /// Ends the sessions that rest inside a transaction.
    void endTransactions();

    /// A line for the caller.
    sigc::signal<void(Proxy::SessionId, std::string_view line)>& answered() { return m_answered; }
    /// The answer is whole, and the caller's next line may be sent.
    sigc::signal<void(Proxy::SessionId)>& finished() { return m_finished; }
    /// The other host did not open the session.
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName&)>& failed() { return m_failed; }
    /// The session is over.
    /// @param host set when that host ended it, with whether a request had no answer.
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName& host, bool hasOpenRequest)>& ended()
    {
        return m_ended;
    }

private:
    struct Forward {
        ConnectionId link;
        DatabaseName database;
        HostName host;
        Instant openedAt;
        /// The other host has answered its opening, also with a refusal.
        bool isAnswered { false };
        bool hasOpenRequest { false };
        Session::TransactionState state { Session::TransactionState::Idle };

        [[nodiscard]] bool isIdle() const
        {
            return isAnswered && !hasOpenRequest && state == Session::TransactionState::Idle;
        }
    };

    void onConnected(ConnectionId);
    void onLine(ConnectionId, std::string_view line);
    void onEnded(ConnectionId);
    void fail(Proxy::SessionId);
    /// @param hasOpenRequest whether a request had no answer.
    void end(Proxy::SessionId, bool hasOpenRequest);

    Wire::LineLinks m_links;
    std::unordered_map<Proxy::SessionId, Forward> m_forwards;
    std::unordered_map<ConnectionId, Proxy::SessionId> m_sessionOf;
    std::uint64_t m_lastLink { 0 };
    bool m_isClosingIdle { false };
    sigc::signal<void(Proxy::SessionId, std::string_view)> m_answered;
    sigc::signal<void(Proxy::SessionId)> m_finished;
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName&)> m_failed;
    sigc::signal<void(Proxy::SessionId, const DatabaseName&, const HostName&, bool)> m_ended;
};

} // namespace Auburnpost
