#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace Auburnpost::Member {

using namespace std::chrono_literals;

/// Timing and limits of the gossip protocol. Membership::tick() has to be called at least once per tickInterval.
struct MembershipSettings {
    Duration tickInterval { 50ms };
    /// Interval between probes; one member is probed in each period.
    Duration protocolPeriod { 400ms };
    /// Time without an Ack after which the ping is repeated once.
    Duration pingRepeatAfter { 100ms };
    /// Time without an Ack after which other members are asked to probe the host.
    Duration indirectProbeAfter { 200ms };
    /// Number of members asked for an indirect probe.
    std::size_t indirectProbes { 3 };
    /// Time from suspicion to death, unless the suspect refutes the suspicion with a higher incarnation.
    Duration suspicionTimeout { 1500ms };
    /// Interval between gossip rounds, which run only while there are updates to send.
    Duration gossipInterval { 100ms };
    /// Number of random members that receive the updates in each gossip round.
    std::size_t gossipFanout { 3 };
    /// Number of transmissions of one update by one host, as a multiple of the decimal logarithm, rounded up, of the
    /// number of live hosts.
    std::size_t updateTransmitFactor { 4 };
    /// Mean interval between digest exchanges with a random live member.
    Duration digestInterval { 5s };
    /// Mean interval between digest exchanges with a known address that no live member has.
    Duration reconnectInterval { 2s };
    /// A longer gap between two calls counts as a pause of this process.
    Duration pauseTolerance { 200ms };
    /// Time for which the record of a dead host is kept, so that outdated updates cannot make it live again.
    Duration deadRetention { 10min };
    std::size_t datagramLimitBytes { 1200 };
    /// Contact addresses from the settings, which do not depend on the platform's host list.
    std::vector<SocketAddress> seeds;
};

} // namespace Auburnpost::Member
