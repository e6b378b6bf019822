#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "wire/Listener.h"

#include <functional>
#include <memory>
#include <unordered_map>

struct bufferevent;

namespace Auburnpost::Wire {

/// Relays connections of other hosts to targets. A peer's first line names the target's address and name; one line
/// tells it whether the connection stands, and from then on bytes pass unchanged in both directions.
class RelayServer {
public:
    /// The lines that answer a peer's first one.
    static constexpr std::string_view accepted = "OK";
    static constexpr std::string_view refused = "NO";

    /// @return whether this host has a way to the target of that name.
    using Permission = std::function<bool(const TargetName&)>;

    RelayServer(event_base*, SocketAddress, std::size_t connectionLimit, Permission);
    ~RelayServer();
    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;

    /// Starts to listen.
    /// @return nothing, or an error with step "listen".
    Expected<void> listen();
    /// @return the line that asks for a connection.
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
    static void pass(bufferevent* from, bufferevent* to);
    void end(Pair&);

    event_base* m_base;
    Listener m_listener;
    std::size_t m_connectionLimit;
    Permission m_permission;
    std::uint64_t m_lastPair { 0 };
    std::unordered_map<std::uint64_t, std::unique_ptr<Pair>> m_pairs;
};

} // namespace Auburnpost::Wire
