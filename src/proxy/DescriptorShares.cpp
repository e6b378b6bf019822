#include "proxy/DescriptorShares.h"

namespace Auburnpost::Proxy {

namespace {

    // Percentages of the descriptors for sockets. A host has far more callers than connections to targets, and a home
    // has as many sessions forwarded by peers as callers of its own. Relays only replace interrupted network paths.
    constexpr std::size_t callerShare = 26;
    constexpr std::size_t peerSessionShare = 20;
    constexpr std::size_t relayShare = 7;
    constexpr std::size_t percentBase = 100;

} // namespace

DescriptorShares::DescriptorShares(std::size_t descriptors)
{
    const auto sockets = descriptors > reserved ? descriptors - reserved : 0;
    callers = sockets * callerShare / percentBase;
    peerSessions = sockets * peerSessionShare / percentBase;
    relays = sockets * relayShare / percentBase;
}

} // namespace Auburnpost::Proxy
