#include "wire/PeerTransport.h"

#include "wire/SocketOptions.h"

namespace Auburnpost::Wire {

PeerTransport::PeerTransport(event_base* base, SocketAddress listenAddress, PeerTransportLimits limits)
    : m_base(base)
    , m_limits(limits)
    , m_listener(base, std::move(listenAddress), [this](int descriptor) { accept(descriptor); })
{
    ignoreBrokenPipe();
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::accept(int descriptor)
{
    const auto id = ++m_lastReceiver;
    PeerReceiver::Handlers handlers { [this](const std::string& bytes) { m_received.emit(bytes); },
        [this, id] { m_receivers.erase(id); } };
    m_receivers.emplace(
        id, std::make_unique<PeerReceiver>(m_base, descriptor, m_limits.messageBytes, std::move(handlers)));
}

Expected<void> PeerTransport::send(const SocketAddress& peer, const std::string& bytes)
{
    if (bytes.size() > m_limits.messageBytes)
        return fail(ErrorCode::BadMessage, "send", peer.toString(),
            "the message exceeds " + std::to_string(m_limits.messageBytes) + " bytes");
    auto& sender = m_senders[peer];
    if (!sender)
        sender = std::make_unique<PeerSender>(m_base, peer, m_limits.sender);
    if (!sender->send(bytes))
        return fail(ErrorCode::PeerUnreachable, "send", peer.toString(),
            std::to_string(m_limits.sender.queuedMessages) + " messages wait for the peer already");
    return {};
}

void PeerTransport::drop(const SocketAddress& peer)
{
    m_senders.erase(peer);
}

} // namespace Auburnpost::Wire
