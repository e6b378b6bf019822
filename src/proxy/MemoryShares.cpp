#include "proxy/MemoryShares.h"

namespace Auburnpost::Proxy {

namespace {

    // Percentages of the memory. The process without callers takes 13 MB, and the allocator keeps up to half as much
    // again as is in use; on a host with 64 MB a third remains for answers that are being received from targets.
    constexpr std::size_t callerShare = 20;
    constexpr std::size_t peerSessionShare = 15;
    constexpr std::size_t percentBase = 100;

} // namespace

MemoryShares::MemoryShares(std::size_t bytes)
    : callers(bytes / percentBase * callerShare)
    , peerSessions(bytes / percentBase * peerSessionShare)
{
}

} // namespace Auburnpost::Proxy
