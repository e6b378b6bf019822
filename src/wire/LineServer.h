#pragma once

#include "base/Expected.h"
#include "base/StrongId.h"
#include "limit/ClientBudget.h"
#include "wire/LibeventPointers.h"
#include "wire/LineConnection.h"
#include "wire/Listener.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace Auburnpost::Wire {

/// Identifies one accepted connection; not reused during the lifetime of the server.
using AcceptedConnectionId = StrongId<std::uint64_t, struct AcceptedConnectionIdTag>;

/// Server of the line protocol on one address. After each line a connection reports no further one until resume() and
/// until its output is written. A Limit::ClientBudget decides how much of each connection is read, and which
/// connections are closed because they hold memory or a place without making progress.
class LineServer {
public:
    /// @param connectionLimit maximum open connections; further ones are closed immediately.
    /// @param idBase connection ids start after this value, so that two servers can share one id space without
    /// conflicts.
    LineServer(event_base*, SocketAddress, std::size_t connectionLimit, std::uint64_t idBase = 0);
    /// @param limits with the maximum open connections. For a further one, a connection without progress is closed; if
    /// there is none, the further one is closed.
    LineServer(event_base*, SocketAddress, const Limit::ClientLimits& limits, std::uint64_t idBase = 0);
    ~LineServer();
    LineServer(const LineServer&) = delete;
    LineServer& operator=(const LineServer&) = delete;

    /// Starts listening.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    void stopListening() { m_listener.stop(); }

    void send(AcceptedConnectionId, std::string_view text);
    /// @param stage what the connection does between its requests.
    void resume(AcceptedConnectionId, Limit::ClientStage stage = Limit::ClientStage::Idle);
    /// Closes a connection once its output is sent.
    void close(AcceptedConnectionId);
    /// Sets the present time for the budget's decisions, and closes connections whose time is over.
    void tick(Instant now);
    /// @return the listening address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const { return m_listener.address(); }
    /// @return whether the output of all connections, also of closing ones, is sent.
    [[nodiscard]] bool isFlushed() const;
    [[nodiscard]] const Limit::ClientBudget& budget() const { return m_budget; }
    /// @return the number of connections refused since the start because there was no place for them.
    [[nodiscard]] std::uint64_t refusedConnections() const { return m_refusedConnections; }

    sigc::signal<void(AcceptedConnectionId, std::string_view line)>& lineReceived() { return m_lineReceived; }
    /// Emitted when a connection ended or sent a line above the length limit. The connection is removed after the
    /// signal, unless a slot closed it because of the line: then it is removed once its output is sent.
    /// Not emitted for a connection that the owner has closed before.
    sigc::signal<void(AcceptedConnectionId, DisconnectReason)>& disconnected() { return m_disconnected; }
    /// Emitted before disconnected() for a connection that is closed by a decision of the budget.
    sigc::signal<void(AcceptedConnectionId, Limit::ClientCloseReason)>& closedByLimit() { return m_closedByLimit; }

private:
    struct Client;
    struct Callbacks;

    void accept(int descriptor);
    void onLine(AcceptedConnectionId, std::string_view line);
    void onPartialLine(AcceptedConnectionId, std::size_t lineBytes);
    void onFlushed(AcceptedConnectionId);
    void onDisconnected(AcceptedConnectionId, DisconnectReason);
    void remove(AcceptedConnectionId);
    /// Reports the unread output of a connection to the budget.
    void updateAnswer(AcceptedConnectionId, const LineConnection&);
    void updateAnswers();
    void applyPermits();
    void scheduleEnforcement();
    /// Closes connections until the memory suffices.
    void enforceBudget();
    void closeByLimit(const Limit::ClientClosing&);

    event_base* m_base;
    Listener m_listener;
    std::size_t m_connectionLimit;
    std::uint64_t m_lastId;
    Instant m_now {};
    Limit::ClientBudget m_budget;
    /// Connections may not be closed from within a call that sends to them, so it is done from the loop.
    EventPointer m_enforcement;
    bool m_areAnswersUpdated { false };
    std::uint64_t m_refusedConnections { 0 };
    std::unordered_map<AcceptedConnectionId, std::unique_ptr<Client>> m_clients;
    /// The connections whose output was not delivered when it was last checked.
    std::unordered_set<AcceptedConnectionId> m_undelivered;
    sigc::signal<void(AcceptedConnectionId, std::string_view)> m_lineReceived;
    sigc::signal<void(AcceptedConnectionId, DisconnectReason)> m_disconnected;
    sigc::signal<void(AcceptedConnectionId, Limit::ClientCloseReason)> m_closedByLimit;
};

} // namespace Auburnpost::Wire
