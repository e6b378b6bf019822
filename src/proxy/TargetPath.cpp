#include "proxy/TargetPath.h"

namespace Auburnpost::Proxy {

std::optional<SocketAddress> TargetPath::nextTry(
    Instant now, const std::vector<SocketAddress>& relays, std::size_t start)
{
    if (relays.empty() || (m_triedAt && now - *m_triedAt < tryInterval))
        return {};
    m_triedAt = now;
    return relays[(start + m_next++) % relays.size()];
}

bool TargetPath::shouldTryDirect(Instant now)
{
    if (!m_relay || now - m_directTriedAt < directInterval)
        return false;
    m_directTriedAt = now;
    return true;
}

void TargetPath::reachedThrough(Instant now, const SocketAddress& relay)
{
    m_relay = relay;
    m_directTriedAt = now;
}

} // namespace Auburnpost::Proxy
