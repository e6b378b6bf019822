#include "proxy/DescriptorShares.h"

namespace Auburnpost::Proxy {

namespace {

    // In hundredths of the sockets. A host has far more callers than connections to targets, and a home as many
    // sessions of peers as callers of its own; relays only stand in for links that are cut.
    constexpr std::size_t callerShare = 26;
    constexpr std::size_t peerSessionShare = 20;
    constexpr std::size_t relayShare = 7;
    constexpr std::size_t whole = 100;

} // namespace

DescriptorShares::DescriptorShares(std::size_t descriptors)
{
    const auto sockets = descriptors > reserved ? descriptors - reserved : 0;
    callers = sockets * callerShare / whole;
    peerSessions = sockets * peerSessionShare / whole;
    relays = sockets * relayShare / whole;
}

} // namespace Auburnpost::Proxy
