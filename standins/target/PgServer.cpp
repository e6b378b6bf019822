#include "target/PgServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/listener.h>

namespace Auburnpost::Standin {

namespace {

    constexpr int backlog = 512;

} // namespace

PgServer::PgServer(EventLoop& loop, Target& target)
    : m_loop(loop)
    , m_target(target)
    , m_slots(loop, target)
    , m_lock(loop, target.settings().lockTimeout)
    , m_random(target.settings().seed)
{
    m_target.faultsChanged.connect([this] {
        for (const auto& [id, connection] : m_connections)
            connection->applyFaults();
    });
}

PgServer::~PgServer()
{
    if (m_listener)
        evconnlistener_free(m_listener);
    auto connections = std::move(m_connections);
    m_connections.clear();
    connections.clear();
}

Expected<void> PgServer::listen(const SocketAddress& address)
{
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &endpoint.sin_addr);
    m_listener = evconnlistener_new_bind(m_loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        backlog, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint);
    if (!m_listener)
        return fail(ErrorCode::ConnectionRefused, "listen", address.toString(), "the address can't be bound");
    return {};
}

PgConnection* PgServer::find(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : found->second.get();
}

std::uint64_t PgServer::admittedCount() const
{
    return std::count_if(
        m_connections.begin(), m_connections.end(), [](const auto& item) { return item.second->isAdmitted(); });
}

std::map<std::string, std::uint64_t> PgServer::admittedByPeer() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [id, connection] : m_connections) {
        if (connection->isAdmitted())
            ++counts[connection->peer()];
    }
    return counts;
}

std::optional<SqlError> PgServer::refusal(const std::string& database) const
{
    if (database != m_target.settings().database.value())
        return SqlError { SqlState::unknownDatabase, "database " + database + " does not exist" };
    if (m_target.leaving)
        return SqlError { SqlState::shutdown, "the target is leaving" };
    if (admittedCount() >= static_cast<std::uint64_t>(m_target.settings().maxConnections))
        return SqlError { SqlState::tooManyConnections, "too many connections" };
    return std::nullopt;
}

void PgServer::recordPeakConnections()
{
    m_target.counters.peakConnections = std::max(m_target.counters.peakConnections, admittedCount());
}

std::shared_ptr<Executor> PgServer::makeExecutor(std::uint64_t id)
{
    return std::make_shared<Executor>(m_loop, m_target, m_slots, m_lock, id);
}

bool PgServer::losesAnswer()
{
    return std::bernoulli_distribution(m_target.faults().loseAnswers)(m_random);
}

void PgServer::remove(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    std::shared_ptr<PgConnection> closed(std::move(found->second));
    m_connections.erase(found);
    m_loop.runAfter(Duration::zero(), [closed] {});
}

void PgServer::onAccept(evconnlistener*, int descriptor, sockaddr*, int, void* self)
{
    auto& server = *static_cast<PgServer*>(self);
    const auto id = ++server.m_lastId;
    server.m_connections.emplace(id, std::make_unique<PgConnection>(server, id, descriptor));
}

} // namespace Auburnpost::Standin
