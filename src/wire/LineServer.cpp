#include "wire/LineServer.h"

#include "wire/SocketOptions.h"

#include <unistd.h>

#include <vector>

namespace Auburnpost::Wire {

namespace {

    Limit::ClientLimits limitsFor(std::size_t connections)
    {
        Limit::ClientLimits limits;
        limits.connections = connections;
        return limits;
    }

    Limit::ClientId clientOf(AcceptedConnectionId id)
    {
        return Limit::ClientId(id.value());
    }

} // namespace

struct LineServer::Client {
    std::unique_ptr<LineConnection> connection;
    /// Closed by the owner, but with output that is not sent yet.
    bool isClosing { false };
    /// Whether the connection resumes once its output is written.
    bool resumesWhenFlushed { false };
};

struct LineServer::Callbacks {
    static void enforce(evutil_socket_t, short, void* server) { static_cast<LineServer*>(server)->enforceBudget(); }
};

LineServer::LineServer(event_base* base, SocketAddress address, std::size_t connectionLimit, std::uint64_t idBase)
    : LineServer(base, std::move(address), limitsFor(connectionLimit), idBase)
{
}

LineServer::LineServer(event_base* base, SocketAddress address, const Limit::ClientLimits& limits, std::uint64_t idBase)
    : m_base(base)
    , m_listener(base, std::move(address), [this](int descriptor) { accept(descriptor); })
    , m_connectionLimit(limits.connections)
    , m_lastId(idBase)
    , m_budget(limits)
    , m_enforcement(event_new(base, -1, 0, &Callbacks::enforce, this))
{
    ignoreBrokenPipe();
}

LineServer::~LineServer() = default;

Expected<void> LineServer::listen()
{
    return m_listener.start();
}

void LineServer::accept(int descriptor)
{
    if (m_clients.size() >= m_connectionLimit) {
        if (const auto replaced = m_budget.replaceable(m_now))
            closeByLimit(*replaced);
    }
    if (m_clients.size() >= m_connectionLimit) {
        ++m_refusedConnections;
        ::close(descriptor);
        return;
    }
    const AcceptedConnectionId id(++m_lastId);
    auto& client = m_clients[id];
    client = std::make_unique<Client>();
    LineConnection::Handlers handlers;
    handlers.connected = [] {};
    handlers.line = [this, id](std::string_view line) {
        const auto clientId = id;
        onLine(clientId, line);
    };
    handlers.disconnected = [this, id](DisconnectReason reason) { onDisconnected(id, reason); };
    handlers.partialLine = [this, id](std::size_t lineBytes) { onPartialLine(id, lineBytes); };
    handlers.flushed = [this, id] { onFlushed(id); };
    client->connection = std::make_unique<LineConnection>(m_base, descriptor, std::move(handlers));
    client->connection->setReadLimit(m_budget.freeBytes());
    m_budget.opened(m_now, clientOf(id));
}

void LineServer::onLine(AcceptedConnectionId id, std::string_view line)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    auto& client = *found->second;
    client.connection->pause();
    client.connection->setReadLimit(m_budget.freeBytes());
    m_budget.requestStarted(m_now, clientOf(id), line.size(), client.connection->unreadBytes());
    applyPermits();
    m_lineReceived.emit(id, line);
}

void LineServer::onPartialLine(AcceptedConnectionId id, std::size_t lineBytes)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    found->second->connection->setReadLimit(m_budget.received(m_now, clientOf(id), lineBytes));
    applyPermits();
}

void LineServer::onFlushed(AcceptedConnectionId id)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    auto& client = *found->second;
    updateAnswer(id, *client.connection);
    if (std::exchange(client.resumesWhenFlushed, false))
        client.connection->resume();
    applyPermits();
}

void LineServer::onDisconnected(AcceptedConnectionId id, DisconnectReason reason)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    const bool isClosing = found->second->isClosing;
    if (!isClosing)
        m_disconnected.emit(id, reason);
    // A slot may have sent a last message and closed the connection; it is kept until the message is sent.
    if (isClosing || reason != DisconnectReason::LineTooLong || !found->second->isClosing)
        remove(id);
}

void LineServer::remove(AcceptedConnectionId id)
{
    m_clients.erase(id);
    m_undelivered.erase(id);
    m_budget.closed(m_now, clientOf(id));
    applyPermits();
}

void LineServer::send(AcceptedConnectionId id, std::string_view text)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    found->second->connection->send(text);
    m_budget.answerAdded(m_now, clientOf(id), text.size());
    m_undelivered.insert(id);
    scheduleEnforcement();
}

void LineServer::resume(AcceptedConnectionId id, Limit::ClientStage stage)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end())
        return;
    auto& client = *found->second;
    m_budget.requestAnswered(m_now, clientOf(id), stage);
    applyPermits();
    // A caller that does not read its answers gets no further ones.
    if (client.connection->isFlushed())
        client.connection->resume();
    else
        client.resumesWhenFlushed = true;
}

void LineServer::close(AcceptedConnectionId id)
{
    const auto found = m_clients.find(id);
    if (found == m_clients.end() || found->second->isClosing)
        return;
    found->second->isClosing = true;
    found->second->connection->whenFlushed([this, id] {
        const auto clientId = id;
        remove(clientId);
    });
}

void LineServer::updateAnswer(AcceptedConnectionId id, const LineConnection& connection)
{
    const auto undeliveredBytes = connection.undeliveredBytes();
    m_budget.answerRead(m_now, clientOf(id), connection.unwrittenBytes(), undeliveredBytes);
    if (undeliveredBytes == 0)
        m_undelivered.erase(id);
}

void LineServer::updateAnswers()
{
    const std::vector<AcceptedConnectionId> undelivered(m_undelivered.begin(), m_undelivered.end());
    for (const auto id : undelivered)
        updateAnswer(id, *m_clients.at(id)->connection);
    m_areAnswersUpdated = true;
    applyPermits();
}

void LineServer::applyPermits()
{
    for (const auto permitted : m_budget.takePermitted()) {
        const auto found = m_clients.find(AcceptedConnectionId(permitted.value()));
        if (found != m_clients.end())
            found->second->connection->setReadLimit(m_budget.readableBytes(permitted));
    }
}

void LineServer::scheduleEnforcement()
{
    if (m_budget.worstHolder(m_now))
        event_active(m_enforcement.get(), 0, 0);
}

void LineServer::enforceBudget()
{
    while (m_budget.worstHolder(m_now)) {
        // What was read since the last tick is found out before a connection is closed.
        if (!m_areAnswersUpdated) {
            updateAnswers();
            continue;
        }
        closeByLimit(*m_budget.worstHolder(m_now));
    }
}

void LineServer::closeByLimit(const Limit::ClientClosing& closing)
{
    const AcceptedConnectionId id(closing.client.value());
    m_closedByLimit.emit(id, closing.reason);
    onDisconnected(id, DisconnectReason::Closed);
}

void LineServer::tick(Instant now)
{
    m_now = now;
    updateAnswers();
    while (const auto overdue = m_budget.overdue(now))
        closeByLimit(*overdue);
    enforceBudget();
    m_areAnswersUpdated = false;
}

bool LineServer::isFlushed() const
{
    for (const auto& [id, client] : m_clients) {
        if (!client->connection->isFlushed())
            return false;
    }
    return true;
}

} // namespace Auburnpost::Wire
