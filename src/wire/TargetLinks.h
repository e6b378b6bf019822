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

/// How long a TargetLinks waits for a connection to open.
inline constexpr Duration defaultConnectTimeout = std::chrono::seconds(2);

/// All connections of this host to targets, on the caller's loop.
///
/// Every connection that open() names is reported by opened() or lost(), every command by answered() or lost();
/// after lost() nothing more comes of that connection. A connection that close() ended reports nothing.
/// No signal comes from within open() or send().
class TargetLinks {
public:
    TargetLinks(event_base*, HostName self, DataCentreName, Duration connectTimeout = defaultConnectTimeout);
    ~TargetLinks();
    TargetLinks(const TargetLinks&) = delete;
    TargetLinks& operator=(const TargetLinks&) = delete;

    /// Starts to open a connection.
    void open(ConnectionId, const TargetName&, const SocketAddress&, const DatabaseName&);
    /// Sends a command on an open connection that has none in flight. On one that was lost it does nothing.
    void send(const TargetCommand&);
    /// Ends a connection; a command in flight on it gets no answer.
    void close(ConnectionId);

    sigc::signal<void(ConnectionId, const TargetStanding&)>& opened() { return m_opened; }
    sigc::signal<void(const TargetAnswer&)>& answered() { return m_answered; }
    sigc::signal<void(const TargetConnectionLost&)>& lost() { return m_lost; }

    /// @return how many connections are open or opening.
    [[nodiscard]] std::size_t size() const { return m_links.size(); }

private:
    struct Entry;
    struct Callbacks;

    void onReady(ConnectionId);
    void onConnectTimeout(ConnectionId);
    void watch(Entry&);
    static void postpone(Entry&, const Error&);
    void lose(ConnectionId, const Error&);

    event_base* m_base;
    HostName m_self;
    DataCentreName m_dataCentre;
    Duration m_connectTimeout;
    std::unordered_map<ConnectionId, std::unique_ptr<Entry>> m_links;
    sigc::signal<void(ConnectionId, const TargetStanding&)> m_opened;
    sigc::signal<void(const TargetAnswer&)> m_answered;
    sigc::signal<void(const TargetConnectionLost&)> m_lost;
};

} // namespace Auburnpost::Wire
