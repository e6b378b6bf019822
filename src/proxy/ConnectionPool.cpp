#include "proxy/ConnectionPool.h"

#include <algorithm>

namespace Auburnpost::Proxy {

bool ConnectionPool::mayOpen(Instant now) const
{
    if (now < m_openAfter || count(ConnectionStage::Opening) >= openingLimit)
        return false;
    const auto own = m_connections.size();
    if (own < floorConnections)
        return true;
    return own < std::max(floorConnections, m_limit / shareDivisor) && hasRoom();
}

bool ConnectionPool::hasRoom() const
{
    return m_count && *m_count + headroom < m_limit;
}

TargetConnection& ConnectionPool::add(Instant now, ConnectionId id, const TargetName& target)
{
    auto& connection = m_connections[id];
    connection.id = id;
    connection.target = target;
    connection.since = now;
    // The target's next count will tell; until then this host's own connects must not run past the limit.
    if (m_count)
        ++*m_count;
    return connection;
}

void ConnectionPool::refused(Instant now, RandomEngine& random)
{
    m_openAfter = now + m_backoff.fail(random);
}

TargetConnection* ConnectionPool::findIdle(const Session::SessionValues& values)
{
    TargetConnection* found = nullptr;
    for (auto& [id, connection] : m_connections) {
        if (connection.stage != ConnectionStage::Idle)
            continue;
        if (connection.values == values)
            return &connection;
        found = &connection;
    }
    return found;
}

TargetConnection* ConnectionPool::findForQuestion()
{
    TargetConnection* best = nullptr;
    for (auto& [id, connection] : m_connections) {
        const bool isUnbound = connection.stage == ConnectionStage::Idle || connection.stage == ConnectionStage::Busy;
        const bool isAsked = std::any_of(connection.expected.begin(), connection.expected.end(),
            [](const ExpectedReply& reply) { return reply.purpose == ReplyPurpose::Standing; });
        if (isUnbound && !isAsked && (!best || connection.expected.size() < best->expected.size()))
            best = &connection;
    }
    return best;
}

TargetConnection* ConnectionPool::find(ConnectionId id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

std::vector<ConnectionId> ConnectionPool::surplus(Instant now) const
{
    std::vector<ConnectionId> ids;
    if (m_connections.size() <= 1)
        return ids;
    const auto timeout = hasRoom() || !m_count ? idleTimeout : crowdedIdleTimeout;
    for (const auto& [id, connection] : m_connections) {
        if (connection.stage == ConnectionStage::Idle && now - connection.since >= timeout)
            ids.push_back(id);
    }
    // One connection stays for the next request and for status questions.
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
