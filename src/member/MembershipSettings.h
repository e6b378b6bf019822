#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace Auburnpost::Member {

using namespace std::chrono_literals;

/// Timing and bounds of the gossip protocol. The caller ticks at least once per tickInterval.
struct MembershipSettings {
    Duration tickInterval { 50ms };
    /// One member is probed in each.
    Duration protocolPeriod { 400ms };
    /// After this long without an answer the ping is sent once more.
    Duration pingRepeatAfter { 100ms };
    /// After this long without an answer other members are asked to probe.
    Duration indirectProbeAfter { 200ms };
    std::size_t indirectProbes { 3 };
    /// From suspicion to death, unless the suspect raises its incarnation.
    Duration suspicionTimeout { 1500ms };
    /// News is sent to fanout random members once per interval, while there is any.
    Duration gossipInterval { 100ms };
    std::size_t gossipFanout { 3 };
    /// How often one host passes a piece of news on, times the decimal logarithm of the number of hosts.
    std::size_t newsRepeatFactor { 4 };
    /// Digest exchange with a random live member.
    Duration syncInterval { 5s };
    /// Digest exchange with an address that no live member has.
    Duration reconnectInterval { 2s };
    /// A gap between two calls above this counts as a pause of this process.
    Duration pauseTolerance { 200ms };
    /// A dead host is remembered for this long, so that old news can't bring it back.
    Duration deadRetention { 10min };
    std::size_t datagramLimitBytes { 1200 };
    /// Contact addresses that don't depend on the platform's list.
    std::vector<SocketAddress> seeds;
};

} // namespace Auburnpost::Member
