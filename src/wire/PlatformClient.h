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
#include <vector>

namespace Auburnpost::Wire {

/// How much a PlatformClient has under way at once.
struct PlatformClientLimits {
    /// Names this host to the platform, as "HOST/DATA-CENTRE"; empty sends none.
    std::string userAgent;
    std::size_t connections { 8 };
    /// Calls that wait for a connection; further ones fail at once.
    std::size_t waiting { 4096 };
    std::size_t bodyBytes { 64UL * 1024 * 1024 };
};

/// Calls to the platform's service over HTTP, as docs/OWN-PLATFORM.md states them.
/// Each call gets one answer, within its own time limit, which covers the wait for a connection. No call is sent twice.
class PlatformClient {
public:
    PlatformClient(event_base*, SocketAddress, PlatformClientLimits = {});
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /// Starts a call. Its answer comes from the loop, never from within this function.
    void call(const PlatformCall&);

    sigc::signal<void(const PlatformAnswer&)>& answered() { return m_answered; }

    /// @return how many calls have no answer yet.
    [[nodiscard]] std::size_t pending() const { return m_pending.size(); }

private:
    struct Pending;
    struct Callbacks;

    void scheduleStart();
    void startWaiting();
    /// Makes a call whose sending depends on the moment at which its connection stands.
    void startGuarded(Pending&);
    void onGuardedConnected(Pending&);
    void onGuardedEnded(Pending&);
    void start(Pending&, evhttp_connection*);
    void onReply(Pending&, evhttp_request*);
    void onTimeout(Pending&);
    void finish(Pending&, Expected<PlatformReply>);
    [[nodiscard]] Expected<PlatformReply> readReply(const Pending&, evhttp_request*) const;
    [[nodiscard]] std::string writeRequest(const PlatformCall&) const;
    /// Reads the first line of an answer.
    [[nodiscard]] Expected<PlatformReply> readStatus(const Pending&, std::string_view line) const;
    [[nodiscard]] tl::unexpected<Error> failure(
        const Pending&, std::string message, ErrorCode = ErrorCode::PlatformUnavailable) const;

    event_base* m_base;
    SocketAddress m_address;
    PlatformClientLimits m_limits;
    std::unordered_map<PlatformCallId, std::unique_ptr<Pending>> m_pending;
    std::deque<PlatformCallId> m_waiting;
    /// Requests are made from here only: evhttp fails one that is made within another's callback.
    EventPointer m_startEvent;
    sigc::signal<void(const PlatformAnswer&)> m_answered;
    std::vector<HttpConnectionPointer> m_connections;
    /// Connections without a call.
    std::vector<evhttp_connection*> m_idle;
};

} // namespace Auburnpost::Wire
