#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "message/TargetCommand.h"
#include "wire/LibeventPointers.h"

#include <sigc++/signal.h>

#include <memory>
#include <unordered_map>

namespace Auburnpost::Wire {

/// Maximum time for opening a connection.
inline constexpr Duration defaultConnectTimeout = std::chrono::seconds(2);

/// All connections of this host to targets, on the given event loop.
///
/// Each open() is followed by connectionOpened() or connectionLost(), and each command by answered() or
/// connectionLost(). After connectionLost(), and after close(), no further signal is emitted for a connection. No
/// signal is emitted within open() or send().
class PostgresConnections {
public:
    PostgresConnections(event_base*, HostName self, DataCentreName, Duration connectTimeout = defaultConnectTimeout);
    ~PostgresConnections();
    PostgresConnections(const PostgresConnections&) = delete;
    PostgresConnections& operator=(const PostgresConnections&) = delete;

    /// Starts opening a connection.
    void open(ConnectionId, const TargetName&, const SocketAddress&, const DatabaseName&);
    /// Sends a command on an open connection without a command in flight. Does nothing if the connection was lost.
    void send(const TargetCommand&);
    /// Closes a connection; a command in flight on it gets no answer.
    void close(ConnectionId);

    sigc::signal<void(ConnectionId, const TargetStatus&)>& connectionOpened() { return m_connectionOpened; }
    sigc::signal<void(const TargetAnswer&)>& answered() { return m_answered; }
    sigc::signal<void(const TargetConnectionLost&)>& connectionLost() { return m_connectionLost; }

    /// @return the number of connections that are open or opening.
    [[nodiscard]] std::size_t size() const { return m_connections.size(); }

private:
    struct Entry;
    struct Callbacks;

    void onSocketReady(ConnectionId);
    void onConnectTimeout(ConnectionId);
    void watchSocket(Entry&);
    static void deferLoss(Entry&, const Error&);
    void handleConnectionLoss(ConnectionId, const Error&);

    event_base* m_base;
    HostName m_self;
    DataCentreName m_dataCentre;
    Duration m_connectTimeout;
    std::unordered_map<ConnectionId, std::unique_ptr<Entry>> m_connections;
    sigc::signal<void(ConnectionId, const TargetStatus&)> m_connectionOpened;
    sigc::signal<void(const TargetAnswer&)> m_answered;
    sigc::signal<void(const TargetConnectionLost&)> m_connectionLost;
};

} // namespace Auburnpost::Wire
