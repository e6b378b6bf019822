#pragma once

namespace Auburnpost::Bench {

/// Prints the cost of gossip per host and the propagation time of membership changes for several numbers of hosts.
void benchMembership();
/// Prints the duration of placement and the number of homes that move when a host is lost.
void benchPlacement();
/// Prints the effect of a shared cool-down, compared with the retry budget alone.
void benchCooldown();

} // namespace Auburnpost::Bench
