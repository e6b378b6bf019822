#include "proxy/ConnectionPool.h"

#include <algorithm>

namespace Auburnpost::Proxy {

bool ConnectionPool::mayAttemptOpen(Instant now) const
{
    return now >= m_nextOpenAt && count(ConnectionStage::Opening) < maxOpening;
}

bool ConnectionPool::mayOpen(Instant now) const
{
    if (!mayAttemptOpen(now))
        return false;
    const auto own = m_connections.size();
    if (own < minConnections)
        return true;
    return own < std::max(minConnections, m_limit / hostShareDivisor) && hasRoom();
}

bool ConnectionPool::hasRoom() const
{
    return m_reportedCount && *m_reportedCount + headroom < m_limit;
}

TargetConnection& ConnectionPool::add(Instant now, ConnectionId id, const TargetName& target)
{
    auto& connection = m_connections[id];
    connection.id = id;
    connection.target = target;
    connection.stageEnteredAt = now;
    // Estimate until the target's next report, so that this host's own connection attempts do not exceed the limit.
    if (m_reportedCount)
        ++*m_reportedCount;
    return connection;
}

void ConnectionPool::recordRefusal(Instant now, RandomEngine& random)
{
    m_nextOpenAt = now + m_backoff.recordFailure(random);
}

TargetConnection* ConnectionPool::findIdle(const Session::SessionValues& values, const OrganisationName& organisation)
{
    TargetConnection* found = nullptr;
    for (auto& [id, connection] : m_connections) {
        if (!connection.mayBeLent() || connection.organisation != organisation)
            continue;
        if (connection.values == values)
            return &connection;
        found = &connection;
    }
    return found;
}

TargetConnection* ConnectionPool::findIdleForCommand()
{
    const auto idle = std::find_if(
        m_connections.begin(), m_connections.end(), [](const auto& entry) { return entry.second.mayBeLent(); });
    return idle == m_connections.end() ? nullptr : &idle->second;
}

std::optional<ConnectionId> ConnectionPool::findEvictable(const OrganisationName& organisation) const
{
    const TargetConnection* oldest = nullptr;
    for (const auto& [id, connection] : m_connections) {
        const bool isOther = connection.stage == ConnectionStage::Idle && connection.organisation != organisation;
        if (isOther && (!oldest || connection.stageEnteredAt < oldest->stageEnteredAt))
            oldest = &connection;
    }
    return oldest ? std::optional(oldest->id) : std::nullopt;
}

TargetConnection* ConnectionPool::findForStatusQuery()
{
    TargetConnection* best = nullptr;
    for (auto& [id, connection] : m_connections) {
        const bool isUnbound = connection.stage == ConnectionStage::Idle || connection.stage == ConnectionStage::Busy;
        const bool hasStatusQuery = std::any_of(connection.expectedReplies.begin(), connection.expectedReplies.end(),
            [](const ExpectedReply& reply) { return reply.purpose == ReplyPurpose::Status; });
        if (isUnbound && !hasStatusQuery && (!best || connection.expectedReplies.size() < best->expectedReplies.size()))
            best = &connection;
    }
    return best;
}

TargetConnection* ConnectionPool::find(ConnectionId id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

std::vector<ConnectionId> ConnectionPool::surplusConnections(Instant now) const
{
    std::vector<ConnectionId> ids;
    if (m_connections.size() <= 1)
        return ids;
    const bool isCrowded = m_reportedCount && !hasRoom();
    for (const auto& [id, connection] : m_connections) {
        const auto calmTimeout = connection.organisation == OrganisationName {} ? idleTimeout : organisationIdleTimeout;
        const auto timeout = isCrowded ? crowdedIdleTimeout : calmTimeout;
        if (connection.stage == ConnectionStage::Idle && now - connection.stageEnteredAt >= timeout)
            ids.push_back(id);
    }
    // One connection is kept for the next statement and for status queries.
    if (ids.size() == m_connections.size())
        ids.pop_back();
    return ids;
}

std::size_t ConnectionPool::count(ConnectionStage stage) const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
        [stage](const auto& entry) { return entry.second.stage == stage; }));
}

} // namespace Auburnpost::Proxy
