#include "wire/PeerTransport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace Auburnpost::Wire {

namespace {

    /// Maximum messages handled per readable event, so that the other events of the loop are not delayed.
    constexpr int maxMessagesPerEvent = 64;

    std::string urlOf(const SocketAddress& address)
    {
        return "tcp://" + address.toString();
    }

    nng_duration toNngDuration(Duration duration)
    {
        return static_cast<nng_duration>(toMilliseconds(duration));
    }

} // namespace

/// An nng socket that is closed on destruction.
class PeerTransport::Socket {
public:
    using Open = int (*)(nng_socket*);

    explicit Socket(Open open) { m_errorCode = open(&m_socket); }
    ~Socket()
    {
        if (isOpen())
            nng_close(m_socket);
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    [[nodiscard]] nng_socket handle() const { return m_socket; }
    [[nodiscard]] bool isOpen() const { return nng_socket_id(m_socket) > 0; }
    /// @return nng's code of the first error, 0 if there was none.
    [[nodiscard]] int errorCode() const { return m_errorCode; }
    /// Records the result of one of a chain of calls; the first error is kept.
    Socket& recordResult(int errorCode)
    {
        if (!m_errorCode)
            m_errorCode = errorCode;
        return *this;
    }

private:
    nng_socket m_socket NNG_SOCKET_INITIALIZER;
    int m_errorCode { 0 };
};

struct PeerTransport::Callbacks {
    static void readable(evutil_socket_t, short, void* transport)
    {
        static_cast<PeerTransport*>(transport)->onReadable();
    }
};

PeerTransport::PeerTransport(event_base* base, SocketAddress listenAddress, PeerTransportLimits limits)
    : m_base(base)
    , m_listenAddress(std::move(listenAddress))
    , m_limits(limits)
{
}

PeerTransport::~PeerTransport() = default;

Expected<void> PeerTransport::listen()
{
    auto receiver = std::make_unique<Socket>(nng_pull0_open);
    const auto handle = receiver->handle();
    int descriptor = -1;
    receiver->recordResult(nng_socket_set_size(handle, NNG_OPT_RECVMAXSZ, m_limits.messageBytes))
        .recordResult(nng_socket_set_int(handle, NNG_OPT_RECVBUF, m_limits.receiveBufferMessages))
        .recordResult(nng_listen(handle, urlOf(m_listenAddress).c_str(), nullptr, 0))
        .recordResult(nng_socket_get_int(handle, NNG_OPT_RECVFD, &descriptor));
    if (receiver->errorCode())
        return fail(ErrorCode::BadSettings, "listen", m_listenAddress.toString(), nng_strerror(receiver->errorCode()));
    m_receiver = std::move(receiver);
    m_readable.reset(event_new(m_base, descriptor, EV_READ | EV_PERSIST, &Callbacks::readable, this));
    event_add(m_readable.get(), nullptr);
    return {};
}

Expected<PeerTransport::Socket*> PeerTransport::findOrOpenSender(const SocketAddress& peer)
{
    const auto found = m_senders.find(peer);
    if (found != m_senders.end())
        return found->second.get();
    auto sender = std::make_unique<Socket>(nng_push0_open);
    const auto handle = sender->handle();
    sender->recordResult(nng_socket_set_int(handle, NNG_OPT_SENDBUF, m_limits.sendBufferMessages))
        .recordResult(nng_socket_set_ms(handle, NNG_OPT_RECONNMINT, toNngDuration(m_limits.reconnectMin)))
        .recordResult(nng_socket_set_ms(handle, NNG_OPT_RECONNMAXT, toNngDuration(m_limits.reconnectMax)))
        .recordResult(nng_dial(handle, urlOf(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK));
    if (sender->errorCode())
        return fail(ErrorCode::PeerUnreachable, "dial", peer.toString(), nng_strerror(sender->errorCode()));
    return m_senders.emplace(peer, std::move(sender)).first->second.get();
}

Expected<void> PeerTransport::send(const SocketAddress& peer, const std::string& bytes)
{
    if (bytes.size() > m_limits.messageBytes)
        return fail(ErrorCode::BadMessage, "send", peer.toString(),
            "the message exceeds " + std::to_string(m_limits.messageBytes) + " bytes");
    const auto sender = findOrOpenSender(peer);
    if (!sender)
        return tl::unexpected<Error>(sender.error());
    // nng copies the bytes and does not change them.
    const int errorCode
        = nng_send((*sender)->handle(), const_cast<char*>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK);
    if (errorCode)
        return fail(ErrorCode::PeerUnreachable, "send", peer.toString(), nng_strerror(errorCode));
    return {};
}

void PeerTransport::drop(const SocketAddress& peer)
{
    m_senders.erase(peer);
}

void PeerTransport::onReadable()
{
    for (int count = 0; count < maxMessagesPerEvent; ++count) {
        void* bytes = nullptr;
        std::size_t size = 0;
        if (nng_recv(m_receiver->handle(), &bytes, &size, NNG_FLAG_ALLOC | NNG_FLAG_NONBLOCK))
            return;
        const std::string message(static_cast<const char*>(bytes), size);
        nng_free(bytes, size);
        m_received.emit(message);
    }
}

} // namespace Auburnpost::Wire
