#pragma once

#include "base/SocketAddress.h"
#include "message/PlatformCall.h"
#include "wire/LibeventPointers.h"
#include "wire/LineConnection.h"

#include <sigc++/signal.h>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Auburnpost::Wire {

/// Limits and identification of a PlatformClient.
struct PlatformClientLimits {
    /// User-Agent header that identifies this host to the platform, as "HOST/DATA-CENTRE"; empty: no such header.
    std::string userAgent;
    std::size_t connections { 8 };
    /// Connections of these that only urgent calls use.
    std::size_t urgentConnections { 0 };
    /// Maximum calls that wait for a connection; further ones fail immediately.
    std::size_t waitingCalls { 4096 };
    std::size_t bodyBytes { 64UL * 1024 * 1024 };
};

/// HTTP client for the platform's service, as specified in docs/OWN-PLATFORM.md. Each call gets exactly one answer
/// within its timeout, which includes the wait for a connection. No call is sent twice.
class PlatformClient {
public:
    PlatformClient(event_base*, SocketAddress, PlatformClientLimits = {});
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /// Starts a call. Its answer is emitted from the loop, never within this function.
    void call(const PlatformCall&);

    /// Ends a call without an answer. No effect if the call has ended.
    void cancel(PlatformCallId);

    sigc::signal<void(const PlatformAnswer&)>& answered() { return m_answered; }

    /// @return the number of unanswered calls.
    [[nodiscard]] std::size_t pending() const { return m_pending.size(); }
    /// @return the number of calls that wait for a connection, and the largest number so far.
    [[nodiscard]] std::size_t waiting() const { return m_waitingCalls.size() + m_urgentCalls.size(); }
    [[nodiscard]] std::size_t mostWaiting() const { return m_mostWaiting; }

private:
    struct PendingCall;
    struct Callbacks;

    [[nodiscard]] HttpConnectionPointer makeConnection() const;
    /// Replaces the idle connections on which an earlier call was answered by connections that are not open yet.
    void replaceUsedIdleConnections();
    void scheduleStart();
    void startWaitingCalls();
    /// @return whether a call that is not urgent may take a connection.
    [[nodiscard]] bool mayStartUsualCall() const;
    /// Starts the first call of a queue on an idle connection.
    void startNext(std::deque<PlatformCallId>& queue);
    /// Resets the connection of a call that is in progress.
    static void interrupt(PendingCall&);
    /// Removes a call from the queues and gives its connection back.
    void release(PendingCall&, bool isAnswered);
    /// Starts a call that is sent only if PlatformCall::maySend allows it once the connection is established.
    void startConditional(PendingCall&);
    void onConditionalConnected(PendingCall&);
    void onConditionalEnded(PendingCall&);
    void start(PendingCall&, evhttp_connection*);
    void onReply(PendingCall&, evhttp_request*);
    void onTimeout(PendingCall&);
    void finish(PendingCall&, Expected<PlatformReply>);
    /// @return why the call has no answer at its timeout.
    [[nodiscard]] tl::unexpected<Error> timeoutFailure(const PendingCall&) const;
    [[nodiscard]] Expected<PlatformReply> readReply(const PendingCall&, evhttp_request*) const;
    [[nodiscard]] std::string writeRequest(const PlatformCall&) const;
    /// Parses the status line of a reply.
    [[nodiscard]] Expected<PlatformReply> readStatus(const PendingCall&, std::string_view line) const;
    [[nodiscard]] tl::unexpected<Error> failure(
        const PendingCall&, std::string message, ErrorCode = ErrorCode::PlatformUnavailable) const;

    event_base* m_base;
    SocketAddress m_address;
    PlatformClientLimits m_limits;
    std::unordered_map<PlatformCallId, std::unique_ptr<PendingCall>> m_pending;
    std::deque<PlatformCallId> m_waitingCalls;
    std::deque<PlatformCallId> m_urgentCalls;
    /// Calls in progress on a connection that are not urgent.
    std::size_t m_usualCallsInProgress { 0 };
    std::size_t m_mostWaiting { 0 };
    /// Requests are made only from this event, because evhttp fails a request made within the callback of another one.
    EventPointer m_startEvent;
    sigc::signal<void(const PlatformAnswer&)> m_answered;
    std::vector<HttpConnectionPointer> m_connections;
    /// Connections without a call in progress.
    std::vector<evhttp_connection*> m_idleConnections;
    /// Connections on which the last call was answered.
    std::unordered_set<evhttp_connection*> m_usedConnections;
};

} // namespace Auburnpost::Wire
