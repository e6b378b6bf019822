#pragma once

#include "base/Random.h"
#include "limit/Backoff.h"
#include "proxy/TargetConnection.h"

#include <map>
#include <optional>

namespace Auburnpost::Proxy {

/// This host's connections to one target. The target enforces its connection limit for all hosts together: a host opens
/// more than the minimum only while the target's last reported count leaves room, and backs off after a refusal.
class ConnectionPool {
public:
    /// Connections that a host may open regardless of the target's count.
    static constexpr std::size_t minConnections = 2;
    /// One host may hold the target's limit divided by this.
    static constexpr std::size_t hostShareDivisor = 8;
    /// Connections left free for other hosts, such as newly started ones.
    static constexpr std::size_t headroom = 6;
    /// Maximum number of concurrent connection attempts.
    static constexpr std::size_t maxOpening = 3;
    /// Idle time after which a spare connection is closed.
    static constexpr Duration idleTimeout = std::chrono::seconds(4);
    /// The same for a connection of an organisation. An organisation with few statements would otherwise wait for a
    /// connection with most of them; connections beyond the host's share are closed for others that need one.
    static constexpr Duration organisationIdleTimeout = std::chrono::seconds(20);
    /// The same while the target has no room for connections of other hosts.
    static constexpr Duration crowdedIdleTimeout = std::chrono::milliseconds(300);
    /// Timeout of a connection attempt; across regions one takes about 0.1 s.
    static constexpr Duration openTimeout = std::chrono::milliseconds(900);

    using Connections = std::map<ConnectionId, TargetConnection>;

    /// @param limit connections that the target admits from all hosts together.
    void setLimit(std::size_t limit) { m_limit = limit; }
    /// @param count connections that the target last reported, from all hosts together.
    void setReportedCount(std::size_t count) { m_reportedCount = count; }

    /// @return whether a connection attempt may start now, as far as earlier attempts are concerned.
    [[nodiscard]] bool mayAttemptOpen(Instant now) const;
    /// @return whether a connection attempt may start now, which adds a connection to the target.
    [[nodiscard]] bool mayOpen(Instant now) const;
    TargetConnection& add(Instant now, ConnectionId, const TargetName&);
    /// Records that the target refused a connection or could not be reached.
    void recordRefusal(Instant now, RandomEngine&);
    void recordOpened() { m_backoff.recordSuccess(); }

    /// @return an idle connection of the organisation, preferably one with exactly these values; null when there is
    /// none.
    [[nodiscard]] TargetConnection* findIdle(const Session::SessionValues&, const OrganisationName&);
    /// @return an idle connection of any organisation; null when there is none.
    [[nodiscard]] TargetConnection* findIdleForCommand();
    /// @return the connection of another organisation that has been idle for longest; empty when there is none.
    [[nodiscard]] std::optional<ConnectionId> findEvictable(const OrganisationName&) const;
    /// @return a connection for a status query: of those that belong to no transaction and have no unanswered status
    /// query, the one with the fewest expected replies; null when there is none.
    [[nodiscard]] TargetConnection* findForStatusQuery();
    [[nodiscard]] TargetConnection* find(ConnectionId);
    void remove(ConnectionId id) { m_connections.erase(id); }
    /// @return the spare connections to close now; at least one connection is always kept.
    [[nodiscard]] std::vector<ConnectionId> surplusConnections(Instant now) const;

    [[nodiscard]] std::size_t count(ConnectionStage) const;
    [[nodiscard]] Connections& connections() { return m_connections; }
    [[nodiscard]] const Connections& connections() const { return m_connections; }

private:
    [[nodiscard]] bool hasRoom() const;

    std::size_t m_limit { 0 };
    /// Empty until the target has reported its count.
    std::optional<std::size_t> m_reportedCount;
    Connections m_connections;
    Limit::Backoff m_backoff { { std::chrono::milliseconds(100), std::chrono::seconds(1) } };
    Instant m_nextOpenAt {};
};

} // namespace Auburnpost::Proxy
