#pragma once

#include "base/Random.h"
#include "limit/Backoff.h"
#include "proxy/TargetConnection.h"

#include <map>
#include <optional>

namespace Auburnpost::Proxy {

/// The connections of this host to one target. The target's limit holds for all hosts together and is enforced by the
/// target: a host opens beyond its floor only while the target's last count leaves room, and steps back when refused.
class ConnectionPool {
public:
    /// Connections that a host may open whatever the target's count says.
    static constexpr std::size_t floorConnections = 2;
    /// Part of the limit that one host may hold, as its divisor.
    static constexpr std::size_t shareDivisor = 8;
    /// Connections left free for other hosts, such as those that have just started.
    static constexpr std::size_t headroom = 6;
    /// Connects under way at a time.
    static constexpr std::size_t openingLimit = 3;
    /// Spare connections are closed after so long without use.
    static constexpr Duration idleTimeout = std::chrono::seconds(4);
    /// The same while the target has no room left for others.
    static constexpr Duration crowdedIdleTimeout = std::chrono::milliseconds(300);
    /// A connect that takes longer is given up; across regions one takes about 0.1 s.
    static constexpr Duration openTimeout = std::chrono::milliseconds(900);

    using Connections = std::map<ConnectionId, TargetConnection>;

    /// @param limit what the target admits from all hosts; @param count its connections as it last told.
    void setLimit(std::size_t limit) { m_limit = limit; }
    void setCount(std::size_t count) { m_count = count; }

    /// @return whether a connect may start now.
    [[nodiscard]] bool mayOpen(Instant now) const;
    TargetConnection& add(Instant now, ConnectionId, const TargetName&);
    /// The target admits no more connections, or can't be reached.
    void refused(Instant now, RandomEngine&);
    void opened() { m_backoff.succeed(); }

    /// @return an idle connection, the one whose values fit best; null when there is none.
    [[nodiscard]] TargetConnection* findIdle(const Session::SessionValues&);
    /// @return a connection on which a question may be asked: an idle one, else the one with the fewest replies to come
    /// that belongs to no transaction and has no question open; null when there is none.
    [[nodiscard]] TargetConnection* findForQuestion();
    [[nodiscard]] TargetConnection* find(ConnectionId);
    void remove(ConnectionId id) { m_connections.erase(id); }
    /// @return the spare connections to close now.
    [[nodiscard]] std::vector<ConnectionId> surplus(Instant now) const;

    [[nodiscard]] std::size_t count(ConnectionStage) const;
    [[nodiscard]] Connections& connections() { return m_connections; }
    [[nodiscard]] const Connections& connections() const { return m_connections; }

private:
    [[nodiscard]] bool hasRoom() const;

    std::size_t m_limit { 0 };
    /// Empty until the target has told.
    std::optional<std::size_t> m_count;
    Connections m_connections;
    Limit::Backoff m_backoff { { std::chrono::milliseconds(100), std::chrono::seconds(1) } };
    Instant m_openAfter {};
};

} // namespace Auburnpost::Proxy
