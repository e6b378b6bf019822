#include "wire/PostgresConnections.h"

#include "base/Invariant.h"
#include "wire/LoopTime.h"
#include "wire/PostgresConnection.h"
#include "wire/SocketOptions.h"

namespace Auburnpost::Wire {

/// A connection with its events.
struct PostgresConnections::Entry {
    Entry(PostgresConnections& owner, PostgresConnectionSettings settings)
        : connections(owner)
        , id(settings.id)
        , postgresConnection(std::move(settings))
    {
    }

    PostgresConnections& connections;
    ConnectionId id;
    PostgresConnection postgresConnection;
    /// Error that ended the connection within open() or send(), until it is reported from the loop.
    std::optional<Error> pendingError;
    SocketInterest watchedInterest;
    int watchedDescriptor { -1 };
    // The events are declared after the connection, so that they are freed before its descriptor is closed.
    /// Fires at the connect timeout; activated at once to report pendingError.
    EventPointer timer;
    EventPointer ready;
};

/// The functions that these callbacks call may destroy the entry.
struct PostgresConnections::Callbacks {
    static void ready(evutil_socket_t, short, void* argument)
    {
        auto* const entry = static_cast<Entry*>(argument);
        entry->connections.onSocketReady(entry->id);
    }

    static void timer(evutil_socket_t, short, void* argument)
    {
        auto* const entry = static_cast<Entry*>(argument);
        if (entry->pendingError)
            entry->connections.handleConnectionLoss(entry->id, Error(*entry->pendingError));
        else
            entry->connections.onConnectTimeout(entry->id);
    }
};

PostgresConnections::PostgresConnections(
    event_base* base, HostName self, DataCentreName dataCentre, Duration connectTimeout)
    : m_base(base)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_connectTimeout(connectTimeout)
{
    ignoreBrokenPipe();
}

PostgresConnections::~PostgresConnections() = default;

void PostgresConnections::open(
    ConnectionId id, const TargetName& target, const SocketAddress& address, const DatabaseName& database)
{
    auto entry = std::make_unique<Entry>(*this,
        PostgresConnectionSettings {
            id, target, address, database, m_self.value(), m_self.value() + "/" + m_dataCentre.value() });
    auto& added = *entry;
    const bool isNew = m_connections.emplace(id, std::move(entry)).second;
    AUBURNPOST_INVARIANT(isNew, "ids of connections are unique");
    added.timer.reset(evtimer_new(m_base, &Callbacks::timer, &added));
    const auto timeout = toTimeval(m_connectTimeout);
    evtimer_add(added.timer.get(), &timeout);
    if (added.postgresConnection.descriptor() >= 0)
        return watchSocket(added);
    const auto progress = added.postgresConnection.advance();
    deferLoss(added, std::get<Error>(progress));
}

void PostgresConnections::deferLoss(Entry& entry, const Error& error)
{
    entry.pendingError = error;
    event_active(entry.timer.get(), EV_TIMEOUT, 0);
}

void PostgresConnections::watchSocket(Entry& entry)
{
    const auto wantedInterest = entry.postgresConnection.interest();
    const int descriptor = entry.postgresConnection.descriptor();
    if (wantedInterest == entry.watchedInterest && descriptor == entry.watchedDescriptor)
        return;
    const auto flags
        = static_cast<short>(EV_PERSIST | (wantedInterest.read ? EV_READ : 0) | (wantedInterest.write ? EV_WRITE : 0));
    entry.ready.reset(event_new(m_base, descriptor, flags, &Callbacks::ready, &entry));
    event_add(entry.ready.get(), nullptr);
    entry.watchedInterest = wantedInterest;
    entry.watchedDescriptor = descriptor;
}

void PostgresConnections::onSocketReady(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second->pendingError)
        return;
    auto& entry = *found->second;
    const auto progress = entry.postgresConnection.advance();
    if (const auto* const error = std::get_if<Error>(&progress))
        return handleConnectionLoss(id, *error);
    watchSocket(entry);
    if (const auto* const opening = std::get_if<PostgresConnectionOpened>(&progress)) {
        evtimer_del(entry.timer.get());
        m_connectionOpened.emit(id, opening->status);
    } else if (const auto* const answer = std::get_if<TargetAnswer>(&progress))
        m_answered.emit(*answer);
}

void PostgresConnections::onConnectTimeout(ConnectionId id)
{
    const auto& postgresConnection = m_connections.at(id)->postgresConnection;
    handleConnectionLoss(id,
        postgresConnection.makeError(
            ErrorCode::ConnectionLost, "not open within " + std::to_string(toMilliseconds(m_connectTimeout)) + " ms"));
}

void PostgresConnections::handleConnectionLoss(ConnectionId id, const Error& error)
{
    const TargetConnectionLost loss { id, error };
    m_connections.erase(id);
    m_connectionLost.emit(loss);
}

void PostgresConnections::send(const TargetCommand& command)
{
    const auto found = m_connections.find(command.connection);
    if (found == m_connections.end() || found->second->pendingError)
        return;
    auto& entry = *found->second;
    const auto sent = entry.postgresConnection.send(command);
    if (sent)
        watchSocket(entry);
    else
        deferLoss(entry, sent.error());
}

void PostgresConnections::close(ConnectionId id)
{
    m_connections.erase(id);
}

} // namespace Auburnpost::Wire
