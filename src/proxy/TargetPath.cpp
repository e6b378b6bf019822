#include "proxy/TargetPath.h"

namespace Auburnpost::Proxy {

std::optional<SocketAddress> TargetPath::nextRelay(
    Instant now, const std::vector<SocketAddress>& relays, std::size_t start)
{
    if (relays.empty() || (m_relayTriedAt && now - *m_relayTriedAt < relayRetryInterval))
        return {};
    m_relayTriedAt = now;
    return relays[(start + m_nextIndex++) % relays.size()];
}

bool TargetPath::shouldTryDirect(Instant now)
{
    if (!m_relay || now - m_directTriedAt < directRetryInterval)
        return false;
    m_directTriedAt = now;
    return true;
}

void TargetPath::useRelay(Instant now, const SocketAddress& relay)
{
    m_relay = relay;
    m_directTriedAt = now;
}

} // namespace Auburnpost::Proxy
