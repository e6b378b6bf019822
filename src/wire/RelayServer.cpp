#include "wire/RelayServer.h"

#include "wire/LibeventPointers.h"
#include "wire/LineFraming.h"
#include "wire/LoopTime.h"
#include "wire/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Auburnpost::Wire {

namespace {

    /// Maximum length of the first line, which holds an address and a name, in bytes.
    constexpr std::size_t maxRequestBytes = 512;
    /// Output queued for one side, in bytes, above which the other side is not read.
    constexpr std::size_t maxQueuedBytes = 256UL * 1024;
    /// Time for which a peer may accept none of the last bytes before its connection is closed.
    constexpr Duration lastBytesTimeout = std::chrono::seconds(10);

    void sendLine(bufferevent* side, std::string_view answer)
    {
        const auto line = std::string(answer).append(LineFraming::lineEnd);
        bufferevent_write(side, line.data(), line.size());
    }

    void setNoDelay(bufferevent* side)
    {
        const int on = 1;
        // An error is ignored: without the option small messages are only delayed.
        (void)setsockopt(bufferevent_getfd(side), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

} // namespace

/// The connection of a peer and the connection to its target, which is empty until it is requested.
struct RelayServer::Pair {
    RelayServer* server { nullptr };
    std::uint64_t id { 0 };
    BuffereventPointer peer;
    BuffereventPointer target;
    bool isConnected { false };
    /// Whether the pair is closed once the output to the peer is sent.
    bool isClosing { false };
    /// Whether the peer closed its connection, and the pair is closed once the output to the target is sent.
    bool hasPeerEnded { false };
};

struct RelayServer::Callbacks {
    static void peerRead(bufferevent*, void* argument)
    {
        auto& pair = *static_cast<Pair*>(argument);
        pair.server->onPeerReadable(pair);
    }
    static void peerEvent(bufferevent*, short what, void* argument)
    {
        auto& pair = *static_cast<Pair*>(argument);
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
            pair.server->onPeerEnded(pair, what);
    }
    static void targetRead(bufferevent*, void* argument)
    {
        const auto& pair = *static_cast<Pair*>(argument);
        forwardBytes(pair.target.get(), pair.peer.get());
    }
    static void targetEvent(bufferevent*, short what, void* argument)
    {
        auto& pair = *static_cast<Pair*>(argument);
        pair.server->onTargetEvent(pair, what);
    }
    // Called when the output to one side is sent; reading from the other side resumes.
    static void peerWritten(bufferevent*, void* argument)
    {
        auto& pair = *static_cast<Pair*>(argument);
        if (pair.isClosing)
            pair.server->closePair(pair);
        else if (pair.target)
            bufferevent_enable(pair.target.get(), EV_READ);
    }
    static void targetWritten(bufferevent*, void* argument)
    {
        auto& pair = *static_cast<Pair*>(argument);
        if (pair.hasPeerEnded)
            pair.server->closePair(pair);
        else
            bufferevent_enable(pair.peer.get(), EV_READ);
    }
};

RelayServer::RelayServer(event_base* base, SocketAddress address, std::size_t connectionLimit, RoutePredicate hasRoute)
    : m_base(base)
    , m_listener(base, std::move(address), [this](int descriptor) { accept(descriptor); })
    , m_connectionLimit(connectionLimit)
    , m_hasRoute(std::move(hasRoute))
{
    ignoreBrokenPipe();
}

RelayServer::~RelayServer() = default;

std::string RelayServer::request(const SocketAddress& target, const TargetName& name)
{
    return (target.toString() + " " + name.value()).append(LineFraming::lineEnd);
}

Expected<void> RelayServer::listen()
{
    return m_listener.start();
}

void RelayServer::accept(int descriptor)
{
    if (m_pairs.size() >= m_connectionLimit) {
        ::close(descriptor);
        return;
    }
    auto pair = std::make_unique<Pair>();
    pair->server = this;
    pair->id = ++m_lastPairId;
    pair->peer.reset(bufferevent_socket_new(m_base, descriptor, BEV_OPT_CLOSE_ON_FREE));
    setNoDelay(pair->peer.get());
    bufferevent_setcb(
        pair->peer.get(), &Callbacks::peerRead, &Callbacks::peerWritten, &Callbacks::peerEvent, pair.get());
    bufferevent_enable(pair->peer.get(), EV_READ | EV_WRITE);
    m_pairs.emplace(pair->id, std::move(pair));
}

void RelayServer::onPeerReadable(Pair& pair)
{
    if (pair.isConnected) {
        forwardBytes(pair.peer.get(), pair.target.get());
        return;
    }
    auto* const input = bufferevent_get_input(pair.peer.get());
    // Bytes after the request wait in the input until the connection to the target is established.
    if (!pair.target) {
        if (const auto line = LineFraming::takeLine(input)) {
            connect(pair, *line);
            return;
        }
    }
    if (evbuffer_get_length(input) > (pair.target ? maxQueuedBytes : maxRequestBytes))
        closePair(pair);
}

void RelayServer::connect(Pair& pair, std::string_view line)
{
    const auto blank = line.find(' ');
    const auto address = SocketAddress::parse(line.substr(0, blank));
    const auto name = blank == std::string_view::npos ? std::string_view() : line.substr(blank + 1);
    if (!address || !m_hasRoute(TargetName(std::string(name)))) {
        refuse(pair);
        return;
    }
    pair.target.reset(bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(
        pair.target.get(), &Callbacks::targetRead, &Callbacks::targetWritten, &Callbacks::targetEvent, &pair);
    bufferevent_enable(pair.target.get(), EV_READ | EV_WRITE);
    const auto target = toSockaddr(*address);
    // A failure is reported by the event callback.
    (void)bufferevent_socket_connect(pair.target.get(), reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

void RelayServer::onPeerEnded(Pair& pair, short what)
{
    // A peer that gives up its requests resets its connection; after an orderly end the target gets what was sent.
    if (!pair.isConnected || pair.isClosing || !(what & BEV_EVENT_EOF)) {
        closePair(pair);
        return;
    }
    forwardBytes(pair.peer.get(), pair.target.get());
    if (evbuffer_get_length(bufferevent_get_output(pair.target.get())) == 0) {
        closePair(pair);
        return;
    }
    pair.hasPeerEnded = true;
    bufferevent_disable(pair.peer.get(), EV_READ | EV_WRITE);
    bufferevent_disable(pair.target.get(), EV_READ);
    const auto timeout = toTimeval(lastBytesTimeout);
    bufferevent_set_timeouts(pair.target.get(), nullptr, &timeout);
}

void RelayServer::onTargetEvent(Pair& pair, short what)
{
    if (pair.hasPeerEnded) {
        closePair(pair);
        return;
    }
    if (what & BEV_EVENT_CONNECTED) {
        pair.isConnected = true;
        setNoDelay(pair.target.get());
        sendLine(pair.peer.get(), accepted);
        forwardBytes(pair.peer.get(), pair.target.get());
        return;
    }
    if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    if (!pair.isConnected) {
        refuse(pair);
        return;
    }
    forwardBytes(pair.target.get(), pair.peer.get());
    closeAfterOutput(pair);
}

void RelayServer::refuse(Pair& pair)
{
    sendLine(pair.peer.get(), refused);
    closeAfterOutput(pair);
}

void RelayServer::forwardBytes(bufferevent* from, bufferevent* to)
{
    bufferevent_write_buffer(to, bufferevent_get_input(from));
    if (evbuffer_get_length(bufferevent_get_output(to)) > maxQueuedBytes)
        bufferevent_disable(from, EV_READ);
}

void RelayServer::closeAfterOutput(Pair& pair)
{
    pair.target.reset();
    if (evbuffer_get_length(bufferevent_get_output(pair.peer.get())) == 0) {
        closePair(pair);
        return;
    }
    pair.isClosing = true;
    bufferevent_disable(pair.peer.get(), EV_READ);
    const auto timeout = toTimeval(lastBytesTimeout);
    bufferevent_set_timeouts(pair.peer.get(), nullptr, &timeout);
}

void RelayServer::closePair(Pair& pair)
{
    m_pairs.erase(pair.id);
}

} // namespace Auburnpost::Wire
