#pragma once

namespace Auburnpost::Bench {

/// Prints the cost of gossip per host and the propagation time of membership changes for several numbers of hosts.
void benchMembership();
/// Prints the duration of placement and the number of homes that move when a host is lost.
void benchPlacement();
/// Prints the effect of a shared cool-down, compared with the retry budget alone.
void benchCooldown();
/// Prints the time that the name of a prepared statement takes for texts of several lengths.
void benchPreparedNames();

} // namespace Auburnpost::Bench
