#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "wire/Listener.h"

#include <functional>
#include <memory>
#include <unordered_map>

struct bufferevent;

namespace Auburnpost::Wire {

/// Relays connections of other hosts to targets. The first line of a peer holds the address and name of the target. One
/// line answers whether the connection is established; from then on bytes are forwarded unchanged in both directions.
class RelayServer {
public:
    /// The possible answers to the first line of a peer. After a refusal the connection is closed.
    static constexpr std::string_view accepted = "OK";
    static constexpr std::string_view refused = "NO";

    /// @return whether this host has a route to the target.
    using RoutePredicate = std::function<bool(const TargetName&)>;

    /// @param connectionLimit maximum connections of peers; further ones are closed immediately.
    RelayServer(event_base*, SocketAddress, std::size_t connectionLimit, RoutePredicate);
    ~RelayServer();
    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;

    /// Starts listening.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    /// @return the line that requests a connection to a target.
    [[nodiscard]] static std::string request(const SocketAddress& target, const TargetName&);
    [[nodiscard]] const SocketAddress& address() const { return m_listener.address(); }
    [[nodiscard]] std::size_t connections() const { return m_pairs.size(); }

private:
    struct Pair;
    struct Callbacks;

    void accept(int descriptor);
    void onPeerReadable(Pair&);
    void connect(Pair&, std::string_view line);
    void onTargetEvent(Pair&, short what);
    void onPeerEnded(Pair&, short what);
    static void forwardBytes(bufferevent* from, bufferevent* to);
    void refuse(Pair&);
    /// Closes the connection to the target now, and that to the peer once its output is sent.
    void closeAfterOutput(Pair&);
    void closePair(Pair&);

    event_base* m_base;
    Listener m_listener;
    std::size_t m_connectionLimit;
    RoutePredicate m_hasRoute;
    std::uint64_t m_lastPairId { 0 };
    std::unordered_map<std::uint64_t, std::unique_ptr<Pair>> m_pairs;
};

} // namespace Auburnpost::Wire
