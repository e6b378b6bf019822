#pragma once

#include "base/Ids.h"
#include "wire/LineConnection.h"

#include <sigc++/signal.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace Auburnpost::Wire {

/// Connections that this host opens, each of which carries lines of text.
class LineLinks {
public:
    explicit LineLinks(event_base*);
    ~LineLinks();
    LineLinks(const LineLinks&) = delete;
    LineLinks& operator=(const LineLinks&) = delete;

    void open(ConnectionId, const SocketAddress&);
    void send(ConnectionId, std::string_view text);
    /// Resets a connection; nothing is reported of it after this.
    void close(ConnectionId);

    sigc::signal<void(ConnectionId)>& connected() { return m_connected; }
    sigc::signal<void(ConnectionId, std::string_view line)>& arrived() { return m_arrived; }
    /// The connection ended and is forgotten.
    sigc::signal<void(ConnectionId, LineEnd)>& ended() { return m_ended; }

private:
    void onEnded(ConnectionId, LineEnd);

    event_base* m_base;
    std::unordered_map<ConnectionId, std::unique_ptr<LineConnection>> m_links;
    sigc::signal<void(ConnectionId)> m_connected;
    sigc::signal<void(ConnectionId, std::string_view)> m_arrived;
    sigc::signal<void(ConnectionId, LineEnd)> m_ended;
};

} // namespace Auburnpost::Wire
